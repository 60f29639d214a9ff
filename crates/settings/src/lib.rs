//! Reads the settings, a JSON object whose keys are those of the simulator's protocol, into the configuration of a
//! dispatcher. The simulator sends the object at the start of an instance; a node has it in its configuration file.

use linestack_dispatch::types::{DedupScope, DispatchConfig, Nanos, Product, RepeatPolicy, Report};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The configuration of the dispatcher.
    pub dispatch: DispatchConfig,
    /// The positions of the figures in a load report.
    pub layout: ReportLayout,
    /// The names that the dispatcher's indices stand for.
    pub names: Names,
    /// The longest deadline among the products.
    pub longest_deadline: Nanos,
    /// Whether nodes may send each other messages. This program sends none and ignores those it receives.
    pub may_message_peers: bool,
}

impl Settings {
    /// Returns the first key that differs in `newer` and whose change a running node can't apply without a restart, or none.
    /// The node's state refers to the names of the settings by index, and what clients were promised depends on the
    /// products' repeat policies.
    #[must_use]
    pub fn key_needing_restart(&self, newer: &Self) -> Option<&'static str> {
        let (names, newer_names) = (&self.names, &newer.names);
        let repeat_policies =
            |s: &Self| s.dispatch.products.iter().map(|p| p.repeat_policy).collect::<Vec<_>>();
        let differ = [
            (
                "settings.products",
                names.products != newer_names.products || repeat_policies(self) != repeat_policies(newer),
            ),
            ("settings.tenants", names.tenants != newer_names.tenants),
            ("settings.kinds", names.kinds != newer_names.kinds),
            ("settings.zones", names.zones != newer_names.zones),
            (
                "settings.report",
                names.report_fields != newer_names.report_fields || self.layout != newer.layout,
            ),
            // The node's own zone, and how the list is obtained.
            ("settings.az", self.dispatch.zone != newer.dispatch.zone),
            (
                "settings.discovery",
                self.dispatch.list_refresh_limit.is_some() != newer.dispatch.list_refresh_limit.is_some(),
            ),
        ];
        differ.into_iter().find_map(|(key, differs)| differs.then_some(key))
    }
}

/// The names in the settings. Everywhere else a name is represented by its index in these lists.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub products: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// The names of the figures in a load report, in the order in which the report has them.
    pub report_fields: Vec<String>,
}

/// The index of each figure in a load report, or none if the reports lack it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportLayout {
    pub free_slots: Option<usize>,
    pub free_memory: Option<usize>,
    pub queued_jobs: Option<usize>,
    pub active_jobs: Option<usize>,
}

impl ReportLayout {
    /// Builds a report from its figures, or returns none if there is no usable one. Negative figures and those that are
    /// not finite are dropped.
    #[must_use]
    pub fn report(&self, figure: impl Fn(usize) -> Option<f32>) -> Option<Report> {
        let get = |index: Option<usize>| figure(index?).filter(|f| f.is_finite() && *f >= 0.0);
        let report = Report {
            free_slots: get(self.free_slots),
            free_memory: get(self.free_memory),
            queued_jobs: get(self.queued_jobs),
            active_jobs: get(self.active_jobs),
        };
        (report != Report::default()).then_some(report)
    }
}

/// The settings as they are in JSON. The fields of this struct and of those in it are named after the keys.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawSettings {
    /// The zone of this node.
    az: u16,
    /// The number of nodes.
    balancers: u32,
    deductions: Deductions,
    /// `on_request` if the list has to be requested; otherwise discovery pushes changes.
    discovery: String,
    /// The value of a submission beyond its tenant's share, as a part of its payoff.
    #[serde(deserialize_with = "fraction")]
    excess_payoff: f64,
    family_info: FamilyInfo,
    invariants: Invariants,
    kinds: Vec<String>,
    limits: Limits,
    products: Vec<RawProduct>,
    report: Reports,
    tenants: Vec<Tenant>,
    /// What the weights in the list are; `nominal` and `rough` stand for the sizes of the executors.
    weights: String,
    zones: Vec<String>,
}

impl Default for RawSettings {
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

/// The points deducted from the result for each event, as fractions of the whole result.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Deductions {
    #[serde(deserialize_with = "fraction")]
    probe: f64,
    #[serde(deserialize_with = "fraction")]
    cross_zone: f64,
    #[serde(deserialize_with = "fraction")]
    handshake: f64,
}

/// Reads a number and checks its range, so that the rest of the program need not guard against extreme values.
fn number_in_range<'de, D: Deserializer<'de>>(from: D, min: f64, max: f64) -> Result<f64, D::Error> {
    let number = f64::deserialize(from)?;
    let valid = (min..=max).contains(&number);
    if valid { Ok(number) } else { Err(D::Error::custom(format!("{number} is not from {min} to {max}"))) }
}

/// Reads a cost or a share of a whole.
fn fraction<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    number_in_range(from, 0.0, 1.0)
}

/// The shortest connect timeout; shorter ones are raised to it, because the dispatcher sets timers to fractions of it.
const MIN_CONNECT_TIMEOUT_MS: f64 = 5.0;
/// The longest duration in the settings: a year, in milliseconds.
const MAX_DURATION_MS: f64 = 366.0 * 86_400_000.0;
/// The largest rate, payoff or multiple in the settings.
const MAX_NUMBER: f64 = 1e12;

/// Reads a duration in milliseconds.
fn duration_ms<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    number_in_range(from, 0.0, MAX_DURATION_MS)
}

/// Reads a list of multiples of a job's own running time.
fn factors<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<f64>, D::Error> {
    let all = Vec::<f64>::deserialize(from)?;
    let invalid = all.iter().find(|factor| !(0.0..=MAX_NUMBER).contains(*factor));
    invalid.map_or(Ok(all.clone()), |factor| {
        Err(D::Error::custom(format!("{factor} is not from 0 to {MAX_NUMBER:e}")))
    })
}

/// Reads a multiple of a job's own running time.
fn factor<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    non_negative(from).map(Some)
}

/// Reads a rate, a payoff or a multiple.
fn non_negative<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    number_in_range(from, 0.0, MAX_NUMBER)
}

/// The settings under `familyInfo`. The lists have one entry for each product.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    /// The only kind of executor that runs the product; a negative number stands for any kind.
    class_kind: Vec<i32>,
    /// The multiple of a job's own running time that is added to the product's latency target. A product's `aim_stretch`
    /// takes precedence.
    #[serde(deserialize_with = "factors")]
    class_stretch: Vec<f64>,
    /// The unit of memory; if it is missing or empty, the memory of jobs is not accounted for.
    memory_unit: Option<String>,
    /// The time between two progress messages of a job; 0 if executors send none.
    #[serde(deserialize_with = "duration_ms")]
    progress_ms: f64,
    /// What the report fields `x0` and `x1` mean, as texts.
    report_x0: String,
    report_x1: String,
    /// Whether executors report that a job has started.
    tells_start: bool,
}

/// The bounds in the simulator's rules for a dispatcher.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Invariants {
    /// The time before a submission's deadline at which no execution is begun any more.
    #[serde(deserialize_with = "duration_ms")]
    answer_slack_ms: f64,
    /// The part of its capacity that an executor has right after its start.
    #[serde(deserialize_with = "fraction")]
    cold_from: f64,
    /// The time from an executor's start until it has its whole capacity.
    #[serde(deserialize_with = "duration_ms")]
    cold_ms: f64,
    /// Its range is checked, but it is not used.
    #[serde(deserialize_with = "duration_ms")]
    drain_grace_ms: f64,
    /// An executor collapses when it gets more than `fall_multiple` times its capacity within this time.
    #[serde(deserialize_with = "duration_ms")]
    fall_ms: f64,
    #[serde(deserialize_with = "non_negative")]
    fall_multiple: f64,
    /// The longest time between two requests for the list, where it has to be requested.
    #[serde(deserialize_with = "duration_ms")]
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

/// What the dispatcher may do, and how much of it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    cancel: bool,
    #[serde(deserialize_with = "duration_ms")]
    conn_idle_ms: f64,
    #[serde(deserialize_with = "duration_ms")]
    connect_timeout_ms: f64,
    max_executions: u16,
    #[serde(deserialize_with = "duration_ms")]
    max_retry_after_ms: f64,
    may_duplicate: bool,
    may_probe: bool,
    /// Whether nodes may send each other messages.
    may_tell: bool,
    /// Whether clients honour a Retry-After, up to `max_retry_after_ms`.
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

/// A product.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawProduct {
    /// The time within which an answer earns the full payoff.
    #[serde(deserialize_with = "duration_ms")]
    agreed_time_ms: f64,
    /// The multiple of a job's own running time that is added to `agreed_time_ms`.
    #[serde(deserialize_with = "factor")]
    aim_stretch: Option<f64>,
    /// The kinds of executor that may run the product; all kinds if missing.
    bound_to: Option<Selection>,
    /// The time from a submission to its deadline.
    #[serde(deserialize_with = "duration_ms")]
    cut_off_ms: f64,
    /// The executors among which repeats of a stamped submission are dropped: `all`, `zone` or `cell`.
    dedup_scope: String,
    /// Whether a submission may be executed more than once: `pure`, `token` or `side_effect`.
    effect: String,
    /// The part of the payoff that an answer after the latency target still earns.
    #[serde(deserialize_with = "fraction")]
    late_payoff: f64,
    /// How long executors drop repeats of a stamped submission.
    #[serde(deserialize_with = "duration_ms")]
    memory_span_ms: f64,
    name: String,
    #[serde(deserialize_with = "non_negative")]
    payoff: f64,
    /// The zones in which the product may run; all zones if missing.
    stays_in: Option<Selection>,
}

impl Default for RawProduct {
    fn default() -> Self {
        Self {
            agreed_time_ms: 0.0,
            aim_stretch: None,
            bound_to: None,
            cut_off_ms: 0.0,
            dedup_scope: String::new(),
            // A product that states no effect must not be repeated.
            effect: "side_effect".into(),
            late_payoff: 0.0,
            memory_span_ms: 0.0,
            name: String::new(),
            payoff: 1.0,
            stays_in: None,
        }
    }
}

/// A zone or a kind, either by its index in the list of names, as the simulator gives it, or by its name.
#[derive(Deserialize, PartialEq)]
#[serde(untagged)]
enum IndexOrName {
    Index(u16),
    Name(String),
}

/// The zones or kinds whose executors may run a product. An empty list would leave no executor, and a duplicate is
/// ambiguous, so both are rejected as mistakes.
#[derive(Deserialize)]
#[serde(try_from = "Vec<IndexOrName>")]
struct Selection(Vec<IndexOrName>);

impl TryFrom<Vec<IndexOrName>> for Selection {
    type Error = &'static str;

    fn try_from(items: Vec<IndexOrName>) -> Result<Self, Self::Error> {
        if items.is_empty() {
            return Err("the list is empty: give at least one entry, or leave the key out");
        }
        if (1..items.len()).any(|i| items[..i].contains(&items[i])) {
            return Err("an entry is given twice");
        }
        Ok(Self(items))
    }
}

/// The executors that may run a product, by the indices of their kinds and zones; `None` where any may.
struct Restriction {
    kinds: Option<Vec<u16>>,
    zones: Option<Vec<u16>>,
}

impl Selection {
    /// Returns the indices, sorted. A name that the settings do not list is appended to `names`, since executors with that
    /// name may be listed later.
    fn resolve(&self, names: &mut Vec<String>) -> Vec<u16> {
        let index = |item: &IndexOrName| match item {
            IndexOrName::Index(index) => *index,
            IndexOrName::Name(name) => {
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

/// The load reports of executors.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Reports {
    /// The names of the figures, in order.
    fields: Vec<String>,
    /// Accepted, but not used.
    how: String,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Tenant {
    name: String,
    /// The submissions per second within the tenant's share, for all nodes together.
    #[serde(deserialize_with = "non_negative")]
    quota_per_s: f64,
}

const NANOS_PER_MILLI: f64 = 1e6;

/// Converts milliseconds to nanoseconds; negative durations and NaN give 0.
#[must_use]
pub fn nanos_from_millis(millis: f64) -> Nanos {
    (millis * NANOS_PER_MILLI).round() as Nanos
}

/// The error for invalid settings, with the key of the invalid value and the reason.
pub type SettingsError = serde_path_to_error::Error<serde_json::Error>;

/// Reads the settings object. `seed` is the seed of the dispatcher's random numbers.
///
/// # Errors
///
/// The text is not valid JSON, or a value is of the wrong type or out of range.
pub fn read(text: &[u8], seed: u64) -> Result<Settings, SettingsError> {
    let mut raw: RawSettings =
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text))?;
    let family = &raw.family_info;
    let (zones, kinds) = (&mut raw.zones, &mut raw.kinds);
    let mut restriction_of = |i: usize, product: &RawProduct| {
        let family_kind = family.class_kind.get(i).and_then(|k| u16::try_from(*k).ok());
        let bound_to = product.bound_to.as_ref().map(|selection| selection.resolve(kinds));
        // If both are given, both must hold.
        let kinds = match (family_kind, bound_to) {
            (Some(kind), Some(bound_to)) => Some(bound_to.into_iter().filter(|k| *k == kind).collect()),
            (kind, bound_to) => bound_to.or(kind.map(|k| vec![k])),
        };
        Restriction { kinds, zones: product.stays_in.as_ref().map(|selection| selection.resolve(zones)) }
    };
    let restrictions: Vec<_> =
        raw.products.iter().enumerate().map(|(i, product)| restriction_of(i, product)).collect();
    let product = |((i, raw_product), restriction): ((usize, &RawProduct), Restriction)| Product {
        repeat_policy: match raw_product.effect.as_str() {
            "pure" => RepeatPolicy::Idempotent,
            "token" => RepeatPolicy::Stamped {
                scope: match raw_product.dedup_scope.as_str() {
                    "all" => DedupScope::All,
                    "zone" => DedupScope::Zone,
                    _ => DedupScope::Cell,
                },
                dedup_window: nanos_from_millis(raw_product.memory_span_ms),
            },
            _ => RepeatPolicy::OneShot,
        },
        latency_target: nanos_from_millis(raw_product.agreed_time_ms),
        latency_target_factor: raw_product
            .aim_stretch
            .or(family.class_stretch.get(i).copied())
            .unwrap_or(0.0),
        payoff: raw_product.payoff,
        late_payoff: raw_product.late_payoff,
        allowed_kinds: restriction.kinds,
        allowed_zones: restriction.zones,
    };
    let field = |name: &str| raw.report.fields.iter().position(|f| f == name);
    // The fields x0 and x1 have no fixed meaning: a text in `familyInfo` describes each of them.
    let described_field = |word: &str| {
        let x0 = field("x0").filter(|_| family.report_x0.contains(word));
        x0.or_else(|| field("x1").filter(|_| family.report_x1.contains(word)))
    };
    let layout = ReportLayout {
        free_slots: described_field("slot"),
        free_memory: described_field("memory"),
        queued_jobs: field("backlog"),
        active_jobs: field("outstanding"),
    };
    let (limits, invariants) = (&raw.limits, &raw.invariants);
    let unless_zero = |duration: Nanos| (duration > 0).then_some(duration);
    let dispatch = DispatchConfig {
        seed,
        nodes: raw.balancers.max(1),
        zone: raw.az,
        products: raw.products.iter().enumerate().zip(restrictions).map(product).collect(),
        quotas: raw.tenants.iter().map(|t| t.quota_per_s.max(0.0)).collect(),
        excess_payoff: raw.excess_payoff,
        probe_cost: raw.deductions.probe,
        zone_crossing_cost: raw.deductions.cross_zone,
        connection_cost: raw.deductions.handshake,
        max_executions: limits.max_executions,
        may_duplicate: limits.may_duplicate,
        may_probe: limits.may_probe,
        may_cancel: limits.cancel,
        retry_after: unless_zero(nanos_from_millis(limits.max_retry_after_ms)).filter(|_| limits.retry_after),
        connect_timeout: nanos_from_millis(limits.connect_timeout_ms.max(MIN_CONNECT_TIMEOUT_MS)),
        idle_timeout: nanos_from_millis(limits.conn_idle_ms),
        deadline_margin: nanos_from_millis(invariants.answer_slack_ms),
        cold_capacity_share: invariants.cold_from,
        slow_start_duration: nanos_from_millis(invariants.cold_ms),
        overload_factor: invariants.fall_multiple,
        overload_window: nanos_from_millis(invariants.fall_ms),
        list_refresh_limit: unless_zero(nanos_from_millis(invariants.must_ask_in_ms))
            .filter(|_| raw.discovery == "on_request"),
        progress_interval: unless_zero(nanos_from_millis(family.progress_ms)),
        reports_start: family.tells_start,
        weights_are_sizes: matches!(raw.weights.as_str(), "nominal" | "rough"),
        counts_memory: family.memory_unit.as_ref().is_some_and(|unit| !unit.is_empty()),
    };
    let longest_deadline = nanos_from_millis(raw.products.iter().map(|p| p.cut_off_ms).fold(0.0, f64::max));
    let may_message_peers = raw.limits.may_tell;
    let names = Names {
        products: raw.products.into_iter().map(|p| p.name).collect(),
        tenants: raw.tenants.into_iter().map(|t| t.name).collect(),
        kinds: raw.kinds,
        zones: raw.zones,
        report_fields: raw.report.fields,
    };
    Ok(Settings { dispatch, layout, names, longest_deadline, may_message_peers })
}
