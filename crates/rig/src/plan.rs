//! Plans: the processes to start, the load, and the steps of a run. A plan is a TOML file that is validated as a whole.

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
    /// The processes to start, their load, and the steps of a run.
    Plan {
        /// The name of the plan in reports.
        name: String = "plan".into(),
        /// The seed of the random draws of clients and stand-ins.
        seed: u64 = 1,
        /// The number of nodes.
        nodes: usize = 3,
        /// The number of coordinators. With 0, nodes get their policy from their own files alone.
        coordinators: usize = 0,
        /// Whether a node that cannot prove that its policy is current stops accepting submissions.
        strict: bool = true,
        /// The duration in milliseconds of the lease under which nodes accept submissions.
        lease_ms: u64 = 1500,
        /// Whether nodes keep a store of outcomes by idempotency key.
        store: bool = false,
        /// The number of stand-in executors.
        executors: u32 = 4,
        /// The number of jobs that each executor runs at a time.
        slots: u32 = 8,
        /// The mean work of a job in milliseconds.
        work_ms: f64 = 20.0,
        /// Whether nodes that start ask running nodes for their observations.
        peers: bool = false,
        /// The rate limits of a node during its staged start.
        starts: StagedStart = StagedStart::default(),
        /// The share of its capacity that an executor has right after a start.
        #[serde(rename = "cold-from")]
        cold_capacity_share: f64 = 0.3,
        /// The time in milliseconds until a cold executor has its full capacity.
        cold_ms: f64 = 4000.0,
        /// The load from clients.
        load: Load = Load::default(),
        /// The steps, in the order in which they are carried out.
        steps: Vec<Step> = Vec::new(),
        /// The time in milliseconds for which the load continues after the last step.
        tail_ms: u64 = 1000,
    }
}

table! {
    /// The limits of a staged start. Rates are per second for the whole fleet; 0 means unlimited.
    StagedStart {
        /// Whether nodes start in stages.
        on: bool = false,
        /// The rate of new connections to executors.
        connects_per_s: f64 = 0.0,
        /// The rate of requests for the whole list.
        lists_per_s: f64 = 0.0,
        /// The rate of new connections to coordinators.
        sessions_per_s: f64 = 0.0,
    }
}

table! {
    /// The load from clients.
    Load {
        /// Submissions per second from all clients together.
        rate: f64 = 200.0,
        /// The number of clients.
        clients: usize = 16,
        /// The deadline of each submission, in milliseconds after it is sent.
        #[serde(rename = "cut-off-ms")]
        deadline_ms: u64 = 2000,
        /// The maximum number of attempts per submission.
        tries: u32 = 3,
        /// Whether clients also retry when the previous attempt may have run. Otherwise they retry only when it cannot
        /// have run.
        #[serde(rename = "ask-when-unknown")]
        retry_when_unknown: bool = false,
        /// Whether clients retry at the same node, which alone knows which jobs it sent.
        same_node: bool = false,
        /// The share of submissions that must not be executed twice.
        one_shot_share: f64 = 0.5,
    }
}

table! {
    /// An action and the event that it waits for. Without an event to wait for, the action is carried out at once.
    Step {
        /// Waits for a history line of this kind.
        line: Option<String> = None,
        /// Waits for a log line that contains this text.
        log: Option<String> = None,
        /// The process whose history or log is watched; any process if omitted.
        by: Option<String> = None,
        /// Waits for a frame of this kind.
        frame: Option<String> = None,
        /// The link on which the frame passes, such as `c0>c1`; any link if omitted.
        #[serde(rename = "way")]
        link: Option<String> = None,
        /// The direction of the awaited frame, and of the frame that the action affects.
        #[serde(rename = "side")]
        direction: Direction = Direction::Forward,
        /// The number of matching lines or frames to wait for since the previous step.
        count: u64 = 1,
        /// A delay in milliseconds after the previous step or after the awaited event.
        after_ms: u64 = 0,
        /// The action to carry out.
        #[serde(rename = "do")]
        action: Action = Action::Nothing,
        /// The targets of the action: processes (`n3`), links (`n3>c0`, `*>c0`) or executors (`e3`).
        to: Vec<String> = Vec::new(),
        /// The affected directions of a link.
        #[serde(rename = "sides")]
        directions: Vec<Direction> = vec![Direction::Forward, Direction::Backward],
        /// The duration in milliseconds of a delay, or of each request for the list.
        ms: u64 = 0,
        /// The bytes per second of a throttled link, or the byte at which a frame is cut.
        bytes: u64 = 0,
        /// The name of the operator's request, or the kind of frame that the action affects.
        request: String = String::new(),
        /// The version that a proposal builds on.
        base: u64 = 0,
        /// The number of the policy that a proposal or a node's file contains.
        #[serde(rename = "terms")]
        policy: u64 = 0,
        /// Whether a proposal waits for every known member, including those that are not connected.
        all: bool = false,
        /// The time in milliseconds after which an undecided proposal is dropped; 0 means never.
        give_up_ms: u64 = 0,
        /// A fault that the process is started with (in test builds only), or the fault of an executor.
        fault: String = String::new(),
        /// The strength of an executor's fault; its meaning depends on the kind of fault.
        size: f64 = 0.5,
        /// Whether the start is expected to fail.
        #[serde(rename = "refused")]
        expect_failure: bool = false,
    }
}

/// The action of a step. Its names appear in plan files, histories and messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Only waits.
    Nothing,
    /// Kills processes with SIGKILL.
    Kill,
    /// Starts processes that do not run.
    Start,
    /// Starts processes with an empty store.
    StartEmpty,
    /// Copies the store of a process, for a later start with the copy.
    Copy,
    /// Starts a process with the copy of its store.
    StartOlder,
    /// Starts a process after its existing store files were overwritten with the copy, as by a disk that is rolled
    /// back.
    StartRolledBack,
    /// Asks the coordinators to give a coordinator's number to a replacement with an empty store, and starts the
    /// replacement.
    Replace,
    /// Founds the fleet anew from one coordinator's store when all coordinators are down. The others lose their
    /// stores, and all are started.
    Refound,
    /// Waits until a process has ended by itself with an exit code other than 0.
    Gone,
    /// Pauses processes with SIGSTOP.
    Pause,
    /// Resumes paused processes.
    Resume,
    /// Stops a process with SIGTERM and waits until it has ended.
    Stop,
    /// Cuts links; see [`Link::cut`](crate::link::Link::cut).
    Cut,
    /// Ends all faults of links.
    Heal,
    /// Delays the bytes on links.
    Delay,
    /// Limits links to a number of bytes per second.
    Throttle,
    /// Resets the connections of links.
    Reset,
    /// Cuts the next frame of a kind at a byte and breaks its connection.
    CutAt,
    /// Passes the next frame of a kind twice.
    Repeat,
    /// Holds the next frame of a kind.
    Hold,
    /// Passes on the held frames.
    Release,
    /// Writes another policy into a node's own file and sends SIGHUP to the node if it runs.
    Terms,
    /// Proposes a change of the policy as an operator.
    Propose,
    /// Aborts a change as an operator.
    Abort,
    /// Swaps the stores of two nodes.
    Swap,
    /// Begins a fault at executors (`e3`).
    Ail,
    /// Ends a fault at executors.
    Well,
    /// Replaces executors by cold processes.
    Renew,
    /// Sets the time that discovery takes for each request for the list. It serves requests one at a time.
    Overbook,
}

impl Action {
    /// Returns whether the action targets executors.
    #[must_use]
    pub fn targets_executors(self) -> bool {
        matches!(self, Self::Ail | Self::Well | Self::Renew)
    }

    /// Returns whether the action targets links.
    #[must_use]
    pub fn targets_links(self) -> bool {
        use Action::{Cut, CutAt, Delay, Heal, Hold, Release, Repeat, Reset, Throttle};
        matches!(self, Cut | Heal | Delay | Throttle | Reset | CutAt | Repeat | Hold | Release)
    }
}

/// An error in a plan.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The plan is not valid TOML or has an unknown key.
    #[error("{0}")]
    Malformed(String),
    /// Values are out of range or inconsistent; one line for each.
    #[error("{0}")]
    Invalid(String),
}

/// The target that stands for the coordinator that became leader last.
pub const LEADER: &str = "speaker";
/// The target that stands for all processes that do not run.
pub const DOWN: &str = "down";

/// Returns whether the name of a link or process matches a pattern, in which a trailing `*` stands for any suffix.
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
    /// Parses and validates the text of a plan file.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its key.
    pub fn read(text: &str) -> Result<Self, PlanError> {
        let plan: Self = toml::from_str(text).map_err(|e| PlanError::Malformed(e.to_string()))?;
        plan.validate()?;
        Ok(plan)
    }

    /// Returns the names of the processes.
    #[must_use]
    pub fn processes(&self) -> Vec<String> {
        let nodes = (0..self.nodes).map(|i| format!("n{i}"));
        nodes.chain((0..self.coordinators).map(|i| format!("c{i}"))).collect()
    }

    /// Returns the names of the links between processes: from clients (`k`) to nodes, from nodes to executors (`e0`) and
    /// discovery (`d`), between nodes (`n1>p0`), and from nodes, coordinators and the operator (`o`) to coordinators.
    #[must_use]
    pub fn link_names(&self) -> Vec<String> {
        let mut links = Vec::new();
        for n in 0..self.nodes {
            links.push(format!("k>n{n}"));
            links.push(format!("n{n}>d"));
            links.extend((0..self.executors).map(|e| format!("n{n}>e{e}")));
            links.extend((0..self.coordinators).map(|c| format!("n{n}>c{c}")));
            let others = (0..self.nodes).filter(|p| self.peers && *p != n);
            links.extend(others.map(|p| format!("n{n}>p{p}")));
        }
        for c in 0..self.coordinators {
            links.push(format!("o>c{c}"));
            links.extend((0..self.coordinators).filter(|d| *d != c).map(|d| format!("c{c}>c{d}")));
        }
        links
    }

    /// Validates the plan as a whole.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its key.
    pub fn validate(&self) -> Result<(), PlanError> {
        let mut errors = Vec::new();
        let mut require = |valid: bool, key: &str, reason: &str| {
            if !valid {
                errors.push(format!("{key}: {reason}"));
            }
        };
        require((1..=1024).contains(&self.nodes), "nodes", "from 1 to 1,024");
        require([0, 1, 3, 5].contains(&self.coordinators), "coordinators", "0, 1, 3 or 5");
        require((200..=60_000).contains(&self.lease_ms), "lease-ms", "from 200 to 60,000");
        require((1..=1024).contains(&self.executors), "executors", "from 1 to 1,024");
        require((1..=4096).contains(&self.slots), "slots", "from 1 to 4,096");
        require(self.work_ms > 0.0 && self.work_ms < 1e5, "work-ms", "over 0, under 100,000");
        require(self.load.rate > 0.0 && self.load.rate <= 1e5, "load.rate", "over 0, 100,000 at most");
        require((1..=512).contains(&self.load.clients), "load.clients", "from 1 to 512");
        require((50..=60_000).contains(&self.load.deadline_ms), "load.cut-off-ms", "from 50 to 60,000");
        require((0.0..=1.0).contains(&self.load.one_shot_share), "load.one-shot-share", "from 0 to 1");
        require(self.tail_ms <= 600_000, "tail-ms", "600,000 at most");
        let (processes, links) = (self.processes(), self.link_names());
        for (i, step) in self.steps.iter().enumerate() {
            let key = |k: &str| format!("steps[{i}].{k}");
            let waits = [&step.line, &step.log, &step.frame].iter().filter(|w| w.is_some()).count();
            require(waits <= 1, &key("line"), "only one of `line`, `log` and `frame` may be given");
            require(step.count > 0, &key("count"), "at least 1");
            require(step.after_ms <= 600_000, &key("after-ms"), "600,000 at most");
            if let Some(by) = &step.by {
                require(
                    processes.iter().any(|p| name_matches(by, p)) || by == "rig",
                    &key("by"),
                    "no such process",
                );
            }
            if let Some(frame) = &step.frame {
                require(kind_number(frame).is_some(), &key("frame"), "no such kind of frame");
                let link = step.link.as_deref().unwrap_or("*>*");
                require(links.iter().any(|l| name_matches(link, l)), &key("way"), "no such link");
            }
            if matches!(step.action, Action::CutAt | Action::Repeat | Action::Hold) {
                require(
                    step.target_frame_kind().is_some(),
                    &key("request"),
                    "must be the kind of frame that the action affects",
                );
            }
            let executors: Vec<String> = (0..self.executors).map(|e| format!("e{e}")).collect();
            let names = match step.action {
                action if action.targets_links() => &links,
                action if action.targets_executors() => &executors,
                _ => &processes,
            };
            for to in &step.to {
                let is_placeholder = to == DOWN || (to == LEADER && self.coordinators > 0);
                require(
                    is_placeholder || names.iter().any(|n| name_matches(to, n)),
                    &key("to"),
                    "no target has this name",
                );
            }
            let needs_no_target =
                matches!(step.action, Action::Nothing | Action::Propose | Action::Abort | Action::Overbook);
            require(step.action != Action::Swap || step.to.len() == 2, &key("to"), "exactly two processes");
            let sets_fault = matches!(step.action, Action::Ail | Action::Well);
            require(
                !sets_fault || step.executor_fault().is_some(),
                &key("fault"),
                "not a fault of an executor",
            );
            require(needs_no_target || !step.to.is_empty(), &key("to"), "a target is required");
            if step.action == Action::Propose {
                require(self.coordinators > 0, &key("do"), "there is no coordinator");
                require(!step.request.is_empty(), &key("request"), "a name is required");
            }
        }
        if errors.is_empty() { Ok(()) } else { Err(PlanError::Invalid(errors.join("\n"))) }
    }
}

impl Step {
    /// Returns the executor fault that `fault` names.
    #[must_use]
    pub fn executor_fault(&self) -> Option<linestack_world::Fault> {
        serde_json::from_value(serde_json::Value::String(self.fault.clone())).ok()
    }

    /// Returns the kind of frame that the action affects, which `request` names.
    #[must_use]
    pub fn target_frame_kind(&self) -> Option<u8> {
        kind_number(&self.request)
    }
}
