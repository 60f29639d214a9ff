//! The policy of a fleet: the settings of its nodes as JSON text, without the zone, which is each node's own.

use linestack_settings::Settings;
use serde_json::Value;

/// Parses a policy into the settings of a node in this zone.
///
/// # Errors
///
/// Returns the first error, with its key.
pub fn settings_for_zone(text: &str, zone: u16, seed: u64) -> Result<Settings, String> {
    let mut value: Value = serde_json::from_str(text).map_err(|e| format!("policy: {e}"))?;
    let Some(table) = value.as_object_mut() else { return Err("policy: not an object".into()) };
    if table.contains_key("az") {
        return Err("settings.az: not allowed in a policy, because each node has its own".into());
    }
    table.insert("az".into(), zone.into());
    let text = value.to_string();
    let settings = linestack_settings::read(text.as_bytes(), seed)
        .map_err(|e| format!("settings.{}: {}", e.path(), e.inner()))?;
    if settings.names.products.is_empty() {
        return Err("settings.products: none is named".into());
    }
    Ok(settings)
}

/// Checks whether a fleet that runs under the policy `current` can change to the policy `newer`.
///
/// # Errors
///
/// Returns one line for each error.
pub fn check_change(current: &str, newer: &str) -> Result<(), Vec<String>> {
    let newer = settings_for_zone(newer, 0, 0).map_err(|e| vec![e])?;
    // The current policy was valid when it was proposed. If it can't be parsed any more, any valid policy may follow.
    let Ok(current) = settings_for_zone(current, 0, 0) else { return Ok(()) };
    match current.key_needing_restart(&newer) {
        None => Ok(()),
        Some(key) => {
            Err(vec![format!("{key}: can't be changed while processes run; they must be restarted")])
        }
    }
}
