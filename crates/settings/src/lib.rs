//! The settings: JSON with the simulator wire's names, read into the standing orders. The simulator sends
//! them at the start of an instance; a node on sockets finds the same object in its configuration.

use linestack_dispatch::types::{DedupScope, DispatchConfig, Nanos, Product, RepeatPolicy, Report};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    pub dispatch: DispatchConfig,
    pub layout: ReportLayout,
    pub names: Names,
    /// The longest that a client of any product waits.
    pub longest_deadline: Nanos,
    /// Nodes may send each other messages. This one sends none, and takes none.
    pub may_message_peers: bool,
}

impl Settings {
    /// The first key that a running node can't take over, since what it holds is known by places in these lists,
    /// or was promised by these terms.
    #[must_use]
    pub fn key_needing_restart(&self, newer: &Self) -> Option<&'static str> {
        let (names, others) = (&self.names, &newer.names);
        let promised = |s: &Self| s.dispatch.products.iter().map(|p| p.repeat_policy).collect::<Vec<_>>();
        let differ = [
            ("settings.products", names.products != others.products || promised(self) != promised(newer)),
            ("settings.tenants", names.tenants != others.tenants),
            ("settings.kinds", names.kinds != others.kinds),
            ("settings.zones", names.zones != others.zones),
            ("settings.report", names.report_fields != others.report_fields || self.layout != newer.layout),
            // Its own place, and the way the list is followed.
            ("settings.az", self.dispatch.zone != newer.dispatch.zone),
            (
                "settings.discovery",
                self.dispatch.list_refresh_limit.is_some() != newer.dispatch.list_refresh_limit.is_some(),
            ),
        ];
        differ.into_iter().find_map(|(key, differs)| differs.then_some(key))
    }
}

/// What the settings name; everywhere else the place in these lists stands for the name.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub products: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// The figures of a load report.
    pub report_fields: Vec<String>,
}

/// Where in a load report each figure stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportLayout {
    pub free_slots: Option<usize>,
    pub free_memory: Option<usize>,
    pub queued_jobs: Option<usize>,
    pub active_jobs: Option<usize>,
}

impl ReportLayout {
    /// The report that these figures make, if one came. What makes no sense is left out.
    #[must_use]
    pub fn report(&self, figure: impl Fn(usize) -> Option<f32>) -> Option<Report> {
        let get = |place: Option<usize>| figure(place?).filter(|f| f.is_finite() && *f >= 0.0);
        let report = Report {
            free_slots: get(self.free_slots),
            free_memory: get(self.free_memory),
            queued_jobs: get(self.queued_jobs),
            active_jobs: get(self.active_jobs),
        };
        (report != Report::default()).then_some(report)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Info {
    az: u16,
    balancers: u32,
    deductions: Deductions,
    discovery: String,
    #[serde(deserialize_with = "part")]
    excess_payoff: f64,
    family_info: FamilyInfo,
    invariants: Invariants,
    kinds: Vec<String>,
    limits: Limits,
    products: Vec<Class>,
    report: Reports,
    tenants: Vec<Tenant>,
    weights: String,
    zones: Vec<String>,
}

impl Default for Info {
    fn default() -> Self {
        Self {
            az: 0,
            balancers: 1,
            deductions: Deductions::default(),
            discovery: String::new(),
            excess_payoff: 1.0,
            family_info: FamilyInfo::default(),
            invariants: Invariants::default(),
            kinds: Vec::new(),
            limits: Limits::default(),
            products: Vec::new(),
            report: Reports::default(),
            tenants: Vec::new(),
            weights: String::new(),
            zones: Vec::new(),
        }
    }
}

/// Points of the result for each, as parts of the whole.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Deductions {
    #[serde(deserialize_with = "part")]
    probe: f64,
    #[serde(deserialize_with = "part")]
    cross_zone: f64,
    #[serde(deserialize_with = "part")]
    handshake: f64,
}

/// A number within these limits, or a fault that names them: what is refused at the door needs no care inside.
fn within<'de, D: Deserializer<'de>>(from: D, least: f64, most: f64) -> Result<f64, D::Error> {
    let figure = f64::deserialize(from)?;
    let holds = (least..=most).contains(&figure);
    if holds { Ok(figure) } else { Err(D::Error::custom(format!("{figure} is not from {least} to {most}"))) }
}

/// A price or a share.
fn part<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0, 1.0)
}

/// Milliseconds, a year at most.
fn span<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0, 366.0 * 86_400_000.0)
}

/// Multiples of the running time.
fn stretches<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<f64>, D::Error> {
    let all = Vec::<f64>::deserialize(from)?;
    let odd = all.iter().find(|s| !(0.0..=1e12).contains(*s));
    odd.map_or(Ok(all.clone()), |s| Err(D::Error::custom(format!("{s} is not from 0 to 1e12"))))
}

fn stretch<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    amount(from).map(Some)
}

/// A rate, a payoff or a multiple.
fn amount<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0, 1e12)
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    class_kind: Vec<i32>,
    #[serde(deserialize_with = "stretches")]
    class_stretch: Vec<f64>,
    memory_unit: Option<String>,
    #[serde(deserialize_with = "span")]
    progress_ms: f64,
    report_x0: String,
    report_x1: String,
    tells_start: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Invariants {
    #[serde(deserialize_with = "span")]
    answer_slack_ms: f64,
    #[serde(deserialize_with = "part")]
    cold_from: f64,
    #[serde(deserialize_with = "span")]
    cold_ms: f64,
    #[serde(deserialize_with = "span")]
    drain_grace_ms: f64,
    #[serde(deserialize_with = "span")]
    fall_ms: f64,
    #[serde(deserialize_with = "amount")]
    fall_multiple: f64,
    #[serde(deserialize_with = "span")]
    must_ask_in_ms: f64,
}

impl Default for Invariants {
    fn default() -> Self {
        Self {
            answer_slack_ms: 0.0,
            cold_from: 1.0,
            cold_ms: 0.0,
            drain_grace_ms: 0.0,
            fall_ms: 1000.0,
            fall_multiple: 1.0,
            must_ask_in_ms: 10_000.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    cancel: bool,
    #[serde(deserialize_with = "span")]
    conn_idle_ms: f64,
    #[serde(deserialize_with = "span")]
    connect_timeout_ms: f64,
    max_executions: u16,
    #[serde(deserialize_with = "span")]
    max_retry_after_ms: f64,
    may_duplicate: bool,
    may_probe: bool,
    may_tell: bool,
    retry_after: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            cancel: false,
            conn_idle_ms: 0.0,
            connect_timeout_ms: 250.0,
            max_executions: 1,
            max_retry_after_ms: 0.0,
            may_duplicate: false,
            may_probe: false,
            may_tell: false,
            retry_after: false,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Class {
    #[serde(deserialize_with = "span")]
    agreed_time_ms: f64,
    #[serde(deserialize_with = "stretch")]
    aim_stretch: Option<f64>,
    bound_to: Option<Places>,
    #[serde(deserialize_with = "span")]
    cut_off_ms: f64,
    dedup_scope: String,
    effect: String,
    #[serde(deserialize_with = "part")]
    late_payoff: f64,
    #[serde(deserialize_with = "span")]
    memory_span_ms: f64,
    name: String,
    #[serde(deserialize_with = "amount")]
    payoff: f64,
    stays_in: Option<Places>,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            agreed_time_ms: 0.0,
            aim_stretch: None,
            bound_to: None,
            cut_off_ms: 0.0,
            dedup_scope: String::new(),
            // Without a word on repeats, none may be made.
            effect: "side_effect".into(),
            late_payoff: 0.0,
            memory_span_ms: 0.0,
            name: String::new(),
            payoff: 1.0,
            stays_in: None,
        }
    }
}

/// Zones or kinds: the place in the list of their names, as on the simulator's wire, or a name.
#[derive(Deserialize, PartialEq)]
#[serde(untagged)]
enum Place {
    Index(u16),
    Name(String),
}

/// Those that are open to a product. With none it could go nowhere, which nobody means; and of one named twice
/// it is not clear what was meant.
#[derive(Deserialize)]
#[serde(try_from = "Vec<Place>")]
struct Places(Vec<Place>);

impl TryFrom<Vec<Place>> for Places {
    type Error = &'static str;

    fn try_from(places: Vec<Place>) -> Result<Self, Self::Error> {
        if places.is_empty() {
            return Err("an empty list: one place at least, or leave the key out");
        }
        if (1..places.len()).any(|i| places[..i].contains(&places[i])) {
            return Err("a place is named twice");
        }
        Ok(Self(places))
    }
}

impl Places {
    /// As indices. A name that is not known yet may come with the list, and gets its place now.
    fn resolve(&self, names: &mut Vec<String>) -> Vec<u16> {
        let index = |place: &Place| match place {
            Place::Index(index) => *index,
            Place::Name(name) => {
                let known = names.iter().position(|n| n == name).unwrap_or_else(|| {
                    names.push(name.clone());
                    names.len() - 1
                });
                u16::try_from(known).unwrap_or(u16::MAX)
            }
        };
        let mut all: Vec<u16> = self.0.iter().map(index).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Reports {
    fields: Vec<String>,
    how: String,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Tenant {
    name: String,
    #[serde(deserialize_with = "amount")]
    quota_per_s: f64,
}

/// Nanoseconds of a span in milliseconds; what is negative or not a number gives 0.
#[must_use]
pub fn nanos_from_millis(millis: f64) -> Nanos {
    (millis * 1e6).round() as Nanos
}

/// Where in the settings something makes no sense, and why.
pub type SettingsError = serde_path_to_error::Error<serde_json::Error>;

/// Reads the settings object. `seed` is the source of this node's chance.
pub fn read(text: &[u8], seed: u64) -> Result<Settings, SettingsError> {
    let mut info: Info = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text))?;
    let family = &info.family_info;
    let (zones, kinds) = (&mut info.zones, &mut info.kinds);
    let mut open = |i: usize, class: &Class| {
        let one = family.class_kind.get(i).and_then(|k| u16::try_from(*k).ok());
        let bound = class.bound_to.as_ref().map(|p| p.resolve(kinds));
        // Both must hold where both are given.
        let kinds = match (one, bound) {
            (Some(one), Some(bound)) => Some(bound.into_iter().filter(|k| *k == one).collect()),
            (one, bound) => bound.or(one.map(|k| vec![k])),
        };
        (kinds, class.stays_in.as_ref().map(|p| p.resolve(zones)))
    };
    let open: Vec<_> = info.products.iter().enumerate().map(|(i, class)| open(i, class)).collect();
    type Open = (Option<Vec<u16>>, Option<Vec<u16>>);
    let product = |((i, class), (kinds, zones)): ((usize, &Class), Open)| Product {
        repeat_policy: match class.effect.as_str() {
            "pure" => RepeatPolicy::Idempotent,
            "token" => RepeatPolicy::Stamped {
                scope: match class.dedup_scope.as_str() {
                    "all" => DedupScope::All,
                    "zone" => DedupScope::Zone,
                    _ => DedupScope::Cell,
                },
                dedup_window: nanos_from_millis(class.memory_span_ms),
            },
            _ => RepeatPolicy::OneShot,
        },
        latency_target: nanos_from_millis(class.agreed_time_ms),
        latency_target_factor: class.aim_stretch.or(family.class_stretch.get(i).copied()).unwrap_or(0.0),
        payoff: class.payoff,
        late_payoff: class.late_payoff,
        allowed_kinds: kinds,
        allowed_zones: zones,
    };
    let field = |name: &str| info.report.fields.iter().position(|f| f == name);
    let extra = |word: &str| {
        let x0 = field("x0").filter(|_| family.report_x0.contains(word));
        x0.or_else(|| field("x1").filter(|_| family.report_x1.contains(word)))
    };
    let layout = ReportLayout {
        free_slots: extra("slot"),
        free_memory: extra("memory"),
        queued_jobs: field("backlog"),
        active_jobs: field("outstanding"),
    };
    let (limits, rules) = (&info.limits, &info.invariants);
    let some = |span: Nanos| (span > 0).then_some(span);
    let dispatch = DispatchConfig {
        seed,
        nodes: info.balancers.max(1),
        zone: info.az,
        products: info.products.iter().enumerate().zip(open).map(product).collect(),
        quotas: info.tenants.iter().map(|t| t.quota_per_s.max(0.0)).collect(),
        excess_payoff: info.excess_payoff,
        probe_cost: info.deductions.probe,
        zone_crossing_cost: info.deductions.cross_zone,
        connection_cost: info.deductions.handshake,
        max_executions: limits.max_executions,
        may_duplicate: limits.may_duplicate,
        may_probe: limits.may_probe,
        may_cancel: limits.cancel,
        retry_after: some(nanos_from_millis(limits.max_retry_after_ms)).filter(|_| limits.retry_after),
        // Pulses are a part of it.
        connect_timeout: nanos_from_millis(limits.connect_timeout_ms.max(5.0)),
        idle_timeout: nanos_from_millis(limits.conn_idle_ms),
        deadline_margin: nanos_from_millis(rules.answer_slack_ms),
        cold_capacity_share: rules.cold_from,
        slow_start_duration: nanos_from_millis(rules.cold_ms),
        overload_factor: rules.fall_multiple,
        overload_window: nanos_from_millis(rules.fall_ms),
        list_refresh_limit: some(nanos_from_millis(rules.must_ask_in_ms))
            .filter(|_| info.discovery == "on_request"),
        progress_interval: some(nanos_from_millis(family.progress_ms)),
        reports_start: family.tells_start,
        weights_are_sizes: matches!(info.weights.as_str(), "nominal" | "rough"),
        counts_memory: family.memory_unit.as_ref().is_some_and(|unit| !unit.is_empty()),
    };
    let longest_deadline = nanos_from_millis(info.products.iter().map(|p| p.cut_off_ms).fold(0.0, f64::max));
    let may_message_peers = info.limits.may_tell;
    let names = Names {
        products: info.products.into_iter().map(|p| p.name).collect(),
        tenants: info.tenants.into_iter().map(|t| t.name).collect(),
        kinds: info.kinds,
        zones: info.zones,
        report_fields: info.report.fields,
    };
    Ok(Settings { dispatch, layout, names, longest_deadline, may_message_peers })
}
