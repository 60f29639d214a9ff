//! What a policy says: the settings of a node but for its own place, as JSON text.

use linestack_settings::Settings;
use serde_json::Value;

/// The settings that a policy makes for a node in this zone.
///
/// # Errors
///
/// The first fault, by its key.
pub fn settings_for_zone(text: &str, zone: u16, seed: u64) -> Result<Settings, String> {
    let mut value: Value = serde_json::from_str(text).map_err(|e| format!("policy: {e}"))?;
    let Some(table) = value.as_object_mut() else { return Err("policy: not an object".into()) };
    if table.contains_key("az") {
        return Err("settings.az: is each node's own, and no part of a policy".into());
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

/// Whether a fleet that goes by one policy can go on by another.
///
/// # Errors
///
/// One line for each fault.
pub fn check_change(present: &str, newer: &str) -> Result<(), Vec<String>> {
    let newer = settings_for_zone(newer, 0, 0).map_err(|e| vec![e])?;
    // What holds was checked when it came.
    let Ok(present) = settings_for_zone(present, 0, 0) else { return Ok(()) };
    match present.key_needing_restart(&newer) {
        None => Ok(()),
        Some(key) => Err(vec![format!("{key}: wants new processes, and can't change in running ones")]),
    }
}
