//! What is started, and what is done to it in which order. A plan is a TOML file, checked as a whole.

use linestack_frames::kind_number;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::link::Direction;

macro_rules! table {
    ($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident: $kind:ty = $default:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
        pub struct $name { $($(#[$fdoc])* pub $field: $kind,)* }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }
    };
}

table! {
    /// What is started, under which load, and what is done to it.
    Plan {
        /// What reports call it.
        name: String = "plan".into(),
        /// Chance of clients and stand-ins comes from this.
        seed: u64 = 1,
        /// How many nodes are started.
        nodes: usize = 3,
        /// How many coordinators are started. None: the nodes are told their terms by their files alone.
        coordinators: usize = 0,
        /// Whether a node that can't prove its terms current stops taking submissions.
        strict: bool = true,
        /// The lease under which nodes take submissions.
        lease_ms: u64 = 1500,
        /// Whether nodes keep a store, by the key that clients keep.
        store: bool = false,
        /// How many stand-in executors are started.
        executors: u32 = 4,
        /// How many jobs each runs at a time.
        slots: u32 = 8,
        /// The mean work of a job.
        work_ms: f64 = 20.0,
        /// Whether nodes that start ask running ones.
        peers: bool = false,
        /// What a node keeps to while it starts.
        starts: StagedStart = StagedStart::default(),
        /// The part of its capacity that an executor has right after a start.
        #[serde(rename = "cold-from")]
        cold_capacity_share: f64 = 0.3,
        /// The time until it is whole.
        cold_ms: f64 = 4000.0,
        /// What clients do.
        load: Load = Load::default(),
        /// What is done to the fleet, in this order.
        steps: Vec<Step> = Vec::new(),
        /// The load goes on for so long after the last step.
        tail_ms: u64 = 1000,
    }
}

table! {
    /// A start in stages, if it is on; rates are the fleet's a second, 0 for no bound.
    StagedStart {
        /// Whether nodes start in stages.
        on: bool = false,
        /// Connections to executors.
        connects_per_s: f64 = 0.0,
        /// Calls for the whole list.
        lists_per_s: f64 = 0.0,
        /// Connections to coordinators.
        sessions_per_s: f64 = 0.0,
    }
}

table! {
    /// What clients do.
    Load {
        /// Submissions a second of all clients together.
        rate: f64 = 200.0,
        /// How many clients there are.
        clients: usize = 16,
        /// The deadline: how long a client waits for an answer.
        #[serde(rename = "cut-off-ms")]
        deadline_ms: u64 = 2000,
        /// How often a client asks at most.
        tries: u32 = 3,
        /// Ask again also when the first try may have run. Off: only when it can't have.
        #[serde(rename = "ask-when-unknown")]
        retry_when_unknown: bool = false,
        /// Ask the same node again, which alone knows what it sent.
        same_node: bool = false,
        /// The part of all submissions that must not be executed twice.
        one_shot_share: f64 = 0.5,
    }
}

table! {
    /// What is waited for, and then done. With nothing to wait for it is done at once.
    Step {
        /// Waits for a line of a history, by its kind.
        line: Option<String> = None,
        /// Waits for a line of a log that holds these words.
        log: Option<String> = None,
        /// The process whose history or log it is; any, if none is named.
        by: Option<String> = None,
        /// Waits for a frame of this kind.
        frame: Option<String> = None,
        /// The link on which it passes, such as `c0>c1`; any, if none is named.
        #[serde(rename = "way")]
        link: Option<String> = None,
        /// The direction in which it passes; and that of the frame that the deed is done to.
        #[serde(rename = "side")]
        direction: Direction = Direction::Forward,
        /// So many of them since the step before.
        count: u64 = 1,
        /// Pace only: so long after the step before, or after what was waited for.
        after_ms: u64 = 0,
        /// What is then done.
        #[serde(rename = "do")]
        action: Action = Action::Nothing,
        /// To what: processes (`n3`), or links (`n3>c0`, `*>c0`), by the deed.
        to: Vec<String> = Vec::new(),
        /// In which directions of a link.
        #[serde(rename = "sides")]
        directions: Vec<Direction> = vec![Direction::Forward, Direction::Backward],
        /// Milliseconds, of a delay or of each call for the list.
        ms: u64 = 0,
        /// Bytes a second of a throttled link, or the byte at which a frame is cut.
        bytes: u64 = 0,
        /// The name of the operator's request; or the kind of frame that the deed is done to.
        request: String = String::new(),
        /// The version that a proposal builds on.
        base: u64 = 0,
        /// The number of the policy that a proposal or a file carries.
        #[serde(rename = "terms")]
        policy: u64 = 0,
        /// Whether a proposal waits for every member that is known, also those that are away.
        all: bool = false,
        /// A proposal is dropped when it is not decided by then; 0: never.
        give_up_ms: u64 = 0,
        /// A fault that the process is started with; it exists in test builds only. Or what ails an executor.
        fault: String = String::new(),
        /// How strong that is, as the kind of trouble says.
        size: f64 = 0.5,
        /// The start is to fail.
        #[serde(rename = "refused")]
        expect_failure: bool = false,
    }
}

/// What a step does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Waits alone.
    Nothing,
    /// Kill processes outright.
    Kill,
    /// Start processes that do not run.
    Start,
    /// Start with nothing stored.
    StartEmpty,
    /// Keep a copy of what is stored.
    Copy,
    /// Start with that copy.
    StartOlder,
    /// The same in the files that are there, as a disk does that goes back.
    StartRolledBack,
    /// Ask that another with an empty store gets its number, and start that one.
    Replace,
    /// Of coordinators that are all down this one's store is gone on from; the others lose theirs, and all are started.
    Refound,
    /// Wait until it has ended by itself, and not with 0.
    Gone,
    /// Have processes stand still.
    Pause,
    /// Have them go on.
    Resume,
    /// Tell it to stop, and wait until it has.
    Stop,
    /// Nothing passes on links; see [`Link::cut`](crate::link::Link::cut).
    Cut,
    /// All faults of links end.
    Heal,
    /// What passes on links is delayed.
    Delay,
    /// Links pass so many bytes a second.
    Throttle,
    /// The connections of links are reset.
    Reset,
    /// The next frame of a kind is cut at a byte, and its connection broken.
    CutAt,
    /// The next frame of a kind passes twice.
    Repeat,
    /// The next frame of a kind is held.
    Hold,
    /// Held frames go out.
    Release,
    /// Other terms in the node's own file, and SIGHUP.
    Terms,
    /// An operator proposes a change of the policy.
    Propose,
    /// An operator aborts a change.
    Abort,
    /// What two nodes have stored changes places.
    Swap,
    /// Something is wrong with executors (`e3`) from now on.
    Ail,
    /// It is wrong no more.
    Well,
    /// Executors are others from now on, cold.
    Renew,
    /// Each call for the list takes so long, one after the other.
    Overbook,
}

impl Action {
    /// Whether it is done to executors.
    #[must_use]
    pub fn targets_executors(self) -> bool {
        matches!(self, Self::Ail | Self::Well | Self::Renew)
    }

    /// Whether it is done to links.
    #[must_use]
    pub fn targets_links(self) -> bool {
        use Action::{Cut, CutAt, Delay, Heal, Hold, Release, Repeat, Reset, Throttle};
        matches!(self, Cut | Heal | Delay | Throttle | Reset | CutAt | Repeat | Hold | Release)
    }
}

/// Why a plan is refused.
#[derive(Debug, Error)]
pub enum PlanError {
    /// It is not TOML, or has an unknown key.
    #[error("{0}")]
    Malformed(String),
    /// Its figures make no sense; a line for each.
    #[error("{0}")]
    Invalid(String),
}

/// Whichever coordinator spoke for the fleet last.
pub const LEADER: &str = "speaker";
/// All processes that do not run.
pub const DOWN: &str = "down";

/// Whether a link or a process is meant by a pattern, in which `*` stands for any name's rest.
#[must_use]
pub fn name_matches(pattern: &str, name: &str) -> bool {
    match (pattern.split_once('>'), name.split_once('>')) {
        (Some((a, b)), Some((x, y))) => name_matches(a, x) && name_matches(b, y),
        (None, None) => match pattern.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => pattern == name,
        },
        _ => false,
    }
}

impl Plan {
    /// Reads a plan and checks it.
    ///
    /// # Errors
    ///
    /// All that is wrong with it, each by its key.
    pub fn read(text: &str) -> Result<Self, PlanError> {
        let plan: Self = toml::from_str(text).map_err(|e| PlanError::Malformed(e.to_string()))?;
        plan.check()?;
        Ok(plan)
    }

    /// The names of its processes.
    #[must_use]
    pub fn processes(&self) -> Vec<String> {
        let nodes = (0..self.nodes).map(|i| format!("n{i}"));
        nodes.chain((0..self.coordinators).map(|i| format!("c{i}"))).collect()
    }

    /// The names of the links between them: from clients (`k`) to nodes, from nodes to executors (`e0`) and
    /// discovery (`d`), between nodes (`n1>p0`), and from nodes, coordinators and the operator (`o`) to coordinators.
    #[must_use]
    pub fn link_names(&self) -> Vec<String> {
        let mut ways = Vec::new();
        for n in 0..self.nodes {
            ways.push(format!("k>n{n}"));
            ways.push(format!("n{n}>d"));
            ways.extend((0..self.executors).map(|e| format!("n{n}>e{e}")));
            ways.extend((0..self.coordinators).map(|c| format!("n{n}>c{c}")));
            let others = (0..self.nodes).filter(|p| self.peers && *p != n);
            ways.extend(others.map(|p| format!("n{n}>p{p}")));
        }
        for c in 0..self.coordinators {
            ways.push(format!("o>c{c}"));
            ways.extend((0..self.coordinators).filter(|d| *d != c).map(|d| format!("c{c}>c{d}")));
        }
        ways
    }

    /// Checks it as a whole.
    ///
    /// # Errors
    ///
    /// All that is wrong with it, each by its key.
    pub fn check(&self) -> Result<(), PlanError> {
        let mut faults = Vec::new();
        let mut must = |fine: bool, key: &str, why: &str| {
            if !fine {
                faults.push(format!("{key}: {why}"));
            }
        };
        must((1..=1024).contains(&self.nodes), "nodes", "from 1 to 1,024");
        must([0, 1, 3, 5].contains(&self.coordinators), "coordinators", "0, 1, 3 or 5");
        must((200..=60_000).contains(&self.lease_ms), "lease-ms", "from 200 to 60,000");
        must((1..=1024).contains(&self.executors), "executors", "from 1 to 1,024");
        must((1..=4096).contains(&self.slots), "slots", "from 1 to 4,096");
        must(self.work_ms > 0.0 && self.work_ms < 1e5, "work-ms", "over 0, under 100,000");
        must(self.load.rate > 0.0 && self.load.rate <= 1e5, "load.rate", "over 0, 100,000 at most");
        must((1..=512).contains(&self.load.clients), "load.clients", "from 1 to 512");
        must((50..=60_000).contains(&self.load.deadline_ms), "load.cut-off-ms", "from 50 to 60,000");
        must((0.0..=1.0).contains(&self.load.one_shot_share), "load.one-shot-share", "from 0 to 1");
        must(self.tail_ms <= 600_000, "tail-ms", "600,000 at most");
        let (processes, ways) = (self.processes(), self.link_names());
        for (i, step) in self.steps.iter().enumerate() {
            let key = |k: &str| format!("steps[{i}].{k}");
            let waits = [&step.line, &step.log, &step.frame].iter().filter(|w| w.is_some()).count();
            must(waits <= 1, &key("line"), "one thing is waited for");
            must(step.count > 0, &key("count"), "at least 1");
            must(step.after_ms <= 600_000, &key("after-ms"), "600,000 at most");
            if let Some(by) = &step.by {
                must(
                    processes.iter().any(|p| name_matches(by, p)) || by == "rig",
                    &key("by"),
                    "no such process",
                );
            }
            if let Some(frame) = &step.frame {
                must(kind_number(frame).is_some(), &key("frame"), "no such kind of frame");
                let way = step.link.as_deref().unwrap_or("*>*");
                must(ways.iter().any(|w| name_matches(way, w)), &key("way"), "no such way");
            }
            if matches!(step.action, Action::CutAt | Action::Repeat | Action::Hold) {
                must(
                    step.target_frame_kind().is_some(),
                    &key("request"),
                    "the kind of frame that it is done to",
                );
            }
            let executors: Vec<String> = (0..self.executors).map(|e| format!("e{e}")).collect();
            let names = match step.action {
                on if on.targets_links() => &ways,
                on if on.targets_executors() => &executors,
                _ => &processes,
            };
            for to in &step.to {
                let who = to == DOWN || (to == LEADER && self.coordinators > 0);
                must(who || names.iter().any(|n| name_matches(to, n)), &key("to"), "nothing has this name");
            }
            let nobody =
                matches!(step.action, Action::Nothing | Action::Propose | Action::Abort | Action::Overbook);
            must(step.action != Action::Swap || step.to.len() == 2, &key("to"), "two that change places");
            let ails = matches!(step.action, Action::Ail | Action::Well);
            must(!ails || step.executor_fault().is_some(), &key("fault"), "nothing that ails an executor");
            must(nobody || !step.to.is_empty(), &key("to"), "nobody is named");
            if step.action == Action::Propose {
                must(self.coordinators > 0, &key("do"), "there is no coordinator");
                must(!step.request.is_empty(), &key("request"), "has no name");
            }
        }
        if faults.is_empty() { Ok(()) } else { Err(PlanError::Invalid(faults.join("\n"))) }
    }
}

impl Step {
    /// What ails an executor; it stands in `fault`.
    #[must_use]
    pub fn executor_fault(&self) -> Option<linestack_world::Fault> {
        serde_json::from_value(serde_json::Value::String(self.fault.clone())).ok()
    }

    /// The kind of frame that the deed is done to; it stands in `request`.
    #[must_use]
    pub fn target_frame_kind(&self) -> Option<u8> {
        kind_number(&self.request)
    }
}
