//! A grid over keys of a scenario.

use linestack_world::Scenario;
use toml::{Table, Value};

/// One key and the values that it takes, as `executors.0.slots=2,8,64`.
#[derive(Clone, Debug)]
pub struct Axis {
    pub key: String,
    pub values: Vec<Value>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (key, values) = text.split_once('=').ok_or("wanted: key=value,value")?;
        let value = |v: &str| -> Result<Value, String> {
            let line = format!("v = {v}");
            let quoted = format!("v = \"{v}\"");
            let table: Result<Table, _> = toml::from_str(&line).or_else(|_| toml::from_str(&quoted));
            table.ok().and_then(|mut t| t.remove("v")).ok_or(format!("{v}: not a value"))
        };
        let values = values.split(',').map(value).collect::<Result<Vec<_>, _>>()?;
        Ok(Self { key: key.trim().to_owned(), values })
    }
}

/// Every combination, with the values that it stands for, in the order of the axes.
///
/// # Errors
///
/// A key that a scenario does not have, or a value that makes no sense there.
pub fn grid(s: &Scenario, axes: &[Axis]) -> Result<Vec<(String, Scenario)>, String> {
    let base = Value::try_from(s).map_err(|e| e.to_string())?;
    let mut all = vec![(String::new(), base)];
    for axis in axes {
        let mut next = Vec::new();
        for (name, scenario) in &all {
            for value in &axis.values {
                let mut changed = scenario.clone();
                set(&mut changed, &axis.key, value)?;
                next.push((format!("{name}{}={value} ", axis.key), changed));
            }
        }
        all = next;
    }
    let read = |(name, value): (String, Value)| {
        let s: Scenario = value.try_into().map_err(|e| format!("{name}: {e}"))?;
        s.validate().map_err(|e| format!("{name}: {e}"))?;
        Ok((name.trim_end().to_owned(), s))
    };
    all.into_iter().map(read).collect()
}

fn set(scenario: &mut Value, key: &str, value: &Value) -> Result<(), String> {
    let mut place = scenario;
    for part in key.split('.') {
        let next = match place {
            Value::Table(t) => t.get_mut(part),
            Value::Array(a) => part.parse::<usize>().ok().and_then(|i| a.get_mut(i)),
            _ => None,
        };
        place = next.ok_or(format!("{key}: no such key ({part})"))?;
    }
    *place = match (&place, value) {
        (Value::Float(_), Value::Integer(i)) => Value::Float(*i as f64),
        _ => value.clone(),
    };
    Ok(())
}
