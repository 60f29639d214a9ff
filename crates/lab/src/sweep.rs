//! Variants of a scenario for all combinations of the given values of its keys.

use linestack_world::Scenario;
use toml::{Table, Value};

/// A key of a scenario and the values that it takes, such as `executors.0.slots=2,8,64`.
#[derive(Clone, Debug)]
pub struct Axis {
    pub key: String,
    pub values: Vec<Value>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (key, values) =
            text.split_once('=').ok_or_else(|| format!("{text}: expected key=value,value"))?;
        // A value that is not valid TOML is taken as a string.
        let parse_value = |v: &str| -> Result<Value, String> {
            let line = format!("v = {v}");
            let quoted = format!("v = \"{v}\"");
            let table: Result<Table, _> = toml::from_str(&line).or_else(|_| toml::from_str(&quoted));
            table
                .ok()
                .and_then(|mut t| t.remove("v"))
                .ok_or(format!("{v}: expected a TOML value or a plain string"))
        };
        let values = values.split(',').map(parse_value).collect::<Result<Vec<_>, _>>()?;
        Ok(Self { key: key.trim().to_owned(), values })
    }
}

/// Returns the scenario with each combination of values, and a name that lists these values, in the order of the axes.
///
/// # Errors
///
/// The scenario has no such key, or a value is invalid for it.
pub fn grid(s: &Scenario, axes: &[Axis]) -> Result<Vec<(String, Scenario)>, String> {
    let base = Value::try_from(s).map_err(|e| e.to_string())?;
    let mut all = vec![(String::new(), base)];
    for axis in axes {
        let mut next = Vec::new();
        for (name, scenario) in &all {
            for value in &axis.values {
                let mut changed = scenario.clone();
                set_key(&mut changed, &axis.key, value)?;
                next.push((format!("{name}{}={value} ", axis.key), changed));
            }
        }
        all = next;
    }
    let to_scenario = |(name, value): (String, Value)| {
        let s: Scenario = value.try_into().map_err(|e| format!("{name}: {e}"))?;
        s.validate().map_err(|e| format!("{name}: {e}"))?;
        Ok((name.trim_end().to_owned(), s))
    };
    all.into_iter().map(to_scenario).collect()
}

/// Replaces the value of a key that exists. An integer becomes a float where the key has a float.
fn set_key(scenario: &mut Value, key: &str, value: &Value) -> Result<(), String> {
    let mut target = scenario;
    for part in key.split('.') {
        let next = match target {
            Value::Table(t) => t.get_mut(part),
            Value::Array(a) => part.parse::<usize>().ok().and_then(|i| a.get_mut(i)),
            _ => None,
        };
        target = next.ok_or(format!("{key}: no such key (at {part})"))?;
    }
    *target = match (&target, value) {
        (Value::Float(_), Value::Integer(i)) => Value::Float(*i as f64),
        _ => value.clone(),
    };
    Ok(())
}
