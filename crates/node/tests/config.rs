//! Reading of a node's configuration and of the files for a fleet: errors name the missing or invalid key.

mod common;

use std::io;

use linestack::config;
use rstest::rstest;

/// A change for [`configuration`] that changes nothing.
const NO_CHANGE: (&str, &str) = ("n0", "n0");

/// Returns a valid configuration in which one text is replaced by another.
fn configuration(change: (&str, &str)) -> String {
    let settings = common::SETTINGS;
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
        "known":{{"index":41,"snapshot":true,"endpoints":[]}},"settings":{settings}}}"#
    );
    assert!(text.contains(change.0));
    text.replace(change.0, change.1)
}

/// Reads a configuration with these values of PROXY_CONFIG and PROXY_LISTEN. The file at the path "there" contains `text`; there is
/// no other file.
fn read(path: Option<&str>, listen: Option<&str>, text: &str) -> Result<config::Config, config::ConfigError> {
    let variable = |key: &str| match key {
        "PROXY_CONFIG" => path.map(str::to_owned),
        "PROXY_LISTEN" => listen.map(str::to_owned),
        _ => None,
    };
    let read_file = |path: &str| match path {
        "there" => Ok(text.to_owned()),
        _ => Err(io::ErrorKind::NotFound.into()),
    };
    config::read(variable, read_file)
}

#[rstest]
#[case(None, Some("INFO"))]
#[case(Some("debug"), Some("DEBUG"))]
#[case(Some("loud"), None)]
fn the_log_level_is_read(#[case] value: Option<&str>, #[case] expected: Option<&str>) {
    let found = config::log_level(|key| value.filter(|_| key == "PROXY_LOG").map(str::to_owned));
    assert_eq!(found.as_ref().ok().map(ToString::to_string).as_deref(), expected);
    assert!(found.err().is_none_or(|error| error.key == "PROXY_LOG"));
}

#[test]
fn a_complete_configuration_is_read_and_variables_take_precedence() {
    let config = read(Some("there"), Some("127.0.0.1:9"), &configuration(NO_CHANGE)).unwrap();
    assert_eq!((config.name.as_str(), config.listen.port(), config.discovery.port()), ("n0", 9, 2));
    assert_eq!((config.seed, config.sockets, config.memory_mb), (0x8c1f_30d2_7a5b_e964, 1024, 192));
    assert_eq!(config.settings.names.products, ["pay", "top-up", "look"]);
    assert_eq!(config.known.unwrap().index, 41);
}

#[rstest]
#[case::no_limits((r#""limits""#, r#""other""#))]
#[case::no_known((r#""known""#, r#""other""#))]
#[case::invalid_known((r#""endpoints":[]"#, r#""endpoints":7"#))]
fn keys_with_a_default_may_be_missing(#[case] change: (&str, &str)) {
    let config = read(Some("there"), None, &configuration(change)).unwrap();
    assert_eq!((config.sockets, config.memory_mb), (1024, 192));
}

// A changed configuration is read again: which port the node uses for discovery, and which keys the node names because their change
// takes effect only at a restart.
#[rstest]
#[case::nothing(NO_CHANGE, 2, &[])]
#[case::discovery(("127.0.0.1:2", "127.0.0.1:7"), 7, &[])]
#[case::none((r#""discovery":"127.0.0.1:2","#, ""), 3, &[])]
#[case::whitespace(("\"az\": 0", "\"az\":0"), 2, &[])]
#[case::several(("n0\",", "n1\",\"x\":7,"), 2, &["name"])]
#[case::limits(("1024", "512"), 2, &["limits"])]
#[case::own_zone(("\"az\": 0", "\"az\": 1"), 2, &["settings.az"])]
#[case::a_price(("\"excessPayoff\": 0.2", "\"excessPayoff\": 0.1"), 2, &[])]
#[case::other_products(("\"look\"", "\"see\""), 2, &["settings.products"])]
#[case::other_effects(("\"pure\"", "\"side_effect\""), 2, &["settings.products"])]
#[case::other_tenants(("\"second\"", "\"third\""), 2, &["settings.tenants"])]
#[case::other_reports(("\"backlog\", ", ""), 2, &["settings.report"])]
fn a_running_node_adopts_the_discovery_and_names_keys_that_require_a_restart(
    #[case] change: (&str, &str),
    #[case] discovery_port: u16,
    #[case] keys: &[&str],
) {
    let variable = |key: &str| match key {
        "PROXY_CONFIG" => Some("there".to_owned()),
        "PROXY_DISCOVERY" => Some("127.0.0.1:3".to_owned()),
        _ => None,
    };
    let current = config::read(variable, |_| Ok(configuration(NO_CHANGE))).unwrap();
    assert_eq!(current.discovery.port(), 3);
    let newer = config::reread(&current, variable, |_| Ok(configuration(change))).unwrap();
    assert_eq!(
        (newer.discovery.port(), current.keys_requiring_restart(&newer).as_slice()),
        (discovery_port, keys)
    );
    let error =
        config::reread(&current, variable, |_| Ok(configuration(("127.0.0.1:2", "here")))).unwrap_err();
    assert_eq!(error.key, "discovery");
}

#[rstest]
#[case::not_set(None, None, NO_CHANGE, "PROXY_CONFIG")]
#[case::not_there(Some("gone"), None, NO_CHANGE, "PROXY_CONFIG")]
#[case::no_json(Some("there"), None, ("{\"name\"", "{name"), "PROXY_CONFIG")]
#[case::no_name(Some("there"), None, ("\"name\":\"n0\",", ""), "PROXY_NAME")]
#[case::bad_listen(Some("there"), Some("here"), NO_CHANGE, "PROXY_LISTEN")]
#[case::bad_discovery(Some("there"), None, ("127.0.0.1:2", "127.0.0.1"), "PROXY_DISCOVERY")]
#[case::no_seed(Some("there"), None, ("\"seed\"", "\"other\""), "seed")]
#[case::bad_seed(Some("there"), None, ("8c1f30d27a5be964", "xyz"), "seed")]
#[case::few_sockets(Some("there"), None, ("1024", "8"), "limits.sockets")]
#[case::little_memory(Some("there"), None, ("192", "1"), "limits.memory_mb")]
#[case::no_settings(Some("there"), None, ("\"settings\"", "\"other\""), "settings")]
#[case::bad_limit(Some("there"), None, ("1024", "\"many\""), "limits.sockets")]
#[case::bad_settings(Some("there"), None, ("\"balancers\": 2", "\"balancers\": \"two\""), "settings.balancers")]
#[case::settings_no_object(Some("there"), None, ("\"settings\":", "\"settings\":7,\"other\":"), "settings")]
#[case::bad_product(Some("there"), None, ("\"payoff\": 1.0", "\"payoff\": \"1\""), "settings.products[0].payoff")]
#[case::negative_price(Some("there"), None, ("\"excessPayoff\": 0.2", "\"deductions\": {\"handshake\": -0.1}"), "settings.deductions.handshake")]
#[case::price_out_of_range(Some("there"), None, ("\"excessPayoff\": 0.2", "\"deductions\": {\"probe\": 1.5}"), "settings.deductions.probe")]
#[case::share_out_of_range(Some("there"), None, ("\"excessPayoff\": 0.2", "\"excessPayoff\": 2"), "settings.excessPayoff")]
#[case::negative_cold_share(Some("there"), None, ("\"coldFrom\": 0.3", "\"coldFrom\": -0.3"), "settings.invariants.coldFrom")]
#[case::negative_duration(Some("there"), None, ("\"connIdleMs\": 60000.0", "\"connIdleMs\": -1"), "settings.limits.connIdleMs")]
#[case::negative_latency_factor(Some("there"), None, ("[1, 1, 1]", "[1, -1, 1]"), "settings.familyInfo.classStretch")]
#[case::not_a_number(Some("there"), None, ("\"coldMs\": 9000.0", "\"coldMs\": \"NaN\""), "settings.invariants.coldMs")]
#[case::huge(Some("there"), None, ("\"coldMs\": 9000.0", "\"coldMs\": 1e300"), "settings.invariants.coldMs")]
#[case::no_products(Some("there"), None, ("\"products\"", "\"other\""), "settings.products")]
fn an_invalid_configuration_is_refused_by_key(
    #[case] path: Option<&str>,
    #[case] listen: Option<&str>,
    #[case] change: (&str, &str),
    #[case] key: &str,
) {
    let error = read(path, listen, &configuration(change)).unwrap_err();
    assert_eq!(error.key, key, "{error}");
    assert!(error.to_string().starts_with(key));
}

/// Writes a file into a new folder. Returns the folder, which is removed when dropped, and the file's path.
fn write_file(text: &str) -> (tempfile::TempDir, std::path::PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("file.toml");
    std::fs::write(&path, text).unwrap();
    (folder, path)
}

// An error of a fleet file or a coordinator file names all invalid keys.
#[rstest]
#[case::two("coordinators = [\"127.0.0.1:1\", \"127.0.0.1:2\"]", &["fleet.coordinators"])]
#[case::no_address("coordinators = [\"here\"]", &["fleet.coordinators"])]
#[case::mode("coordinators = [\"127.0.0.1:1\"]\nmode = \"lax\"", &["fleet.mode"])]
#[case::unknown("coordinators = [\"127.0.0.1:1\"]\ncolour = 1", &["colour"])]
#[case::two_faults("coordinators = []\nfolder = \"x\"", &["fleet.coordinators", "fleet.id"])]
fn a_fleet_is_refused_by_key(#[case] lines: &str, #[case] keys: &[&str]) {
    let id = if keys.contains(&"fleet.id") { "a b" } else { "f" };
    let folder = if lines.contains("folder") { "" } else { "folder = \"x\"\n" };
    let (_folder, path) = write_file(&format!("[fleet]\nid = \"{id}\"\nmember = \"n0\"\n{folder}{lines}\n"));
    let error = linestack::fleet::config::read_fleet(&path).unwrap_err();
    assert!(keys.iter().all(|key| error.contains(key)), "{error}");
}

#[rstest]
#[case::number("number = 3", &["coordinator.number"])]
#[case::hold("number = 0\nhold-ms = 2000", &["coordinator.hold-ms"])]
#[case::lease("number = 0\nlease-ms = 50\nhold-ms = 25", &["coordinator.lease-ms"])]
#[case::many("number = 9\ndrift = 900", &["coordinator.number", "coordinator.drift"])]
fn a_coordinator_is_refused_by_key(#[case] lines: &str, #[case] keys: &[&str]) {
    let peers = "peers = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]";
    let text = "[coordinator]\nfleet = \"f\"\nlisten = \"127.0.0.1:0\"\nfolder = \"x\"\nfirst-policy = \"y\"";
    let (_folder, path) = write_file(&format!("{text}\n{peers}\n{lines}\n"));
    let error = linestack::fleet::config::read_coordinator(&path).unwrap_err();
    assert!(keys.iter().all(|key| error.contains(key)), "{error}");
}

// The example files in the folder `deploy` are valid.
#[test]
fn shipped_files_are_read() {
    let deploy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    linestack::fleet::config::read_fleet(&deploy.join("fleet.toml")).unwrap();
    linestack::fleet::config::read_coordinator(&deploy.join("coordinator.toml")).unwrap();
    linestack::persistence::read_config(&deploy.join("store.toml")).unwrap();
}
