//! Generates plans from seeds. Faults come in bursts; those of one burst overlap with each other and with the effects of the
//! previous burst.

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::plan::{ExecutorFault, Fault, Plan, Shim, SignalSequence};
use crate::settings::RunSettings;

/// The size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// The number of nodes, each a process of the program.
    pub nodes: usize,
    /// The number of simulated executors.
    pub executors: usize,
    /// The number of well-behaved clients.
    pub clients: usize,
    /// How long faults may occur, in milliseconds.
    pub span_ms: u64,
}

impl Default for Size {
    fn default() -> Self {
        Self { nodes: 30, executors: 24, clients: 60, span_ms: 15_000 }
    }
}

/// The average number of requests per second of each client.
const REQUESTS_PER_S_PER_CLIENT: f64 = 10.0;
/// The length of the period without faults at the end.
const CALM_MS: u64 = 3_000;
/// The longest time between the starts of two bursts.
const MAX_BURST_INTERVAL_MS: u64 = 2_000;
/// The span within which the faults of a burst begin.
const BURST_DURATION_MS: u64 = 700;
/// The largest number of faults in a burst, for a run of thirty nodes.
const MAX_BURST_FAULTS: usize = 10;
/// The shim's rule by which connections break, including those of clients.
pub(crate) const BROKEN_CONNECTIONS_RULE: &str = "broken";
/// The share of the processes whose system calls fail.
const SHIM_SHARE: f64 = 0.4;

/// The share of the runs that have crowds.
const CROWD_SHARE: f64 = 0.4;
/// The number of connections of a crowd: about as many as a node accepts.
const CROWD_CONNECTIONS: std::ops::RangeInclusive<usize> = 40..=140;
/// The share of the runs that have a long outage of discovery.
const OUTAGE_SHARE: f64 = 0.35;
/// The duration of a long outage.
const LONG_OUTAGE_MS: std::ops::Range<u64> = 4_000..12_000;

const EXECUTOR_FAULTS: [ExecutorFault; 8] = [
    ExecutorFault::Hangs,
    ExecutorFault::Declines,
    ExecutorFault::Fails,
    ExecutorFault::Resets,
    ExecutorFault::Garbles,
    ExecutorFault::Repeats,
    ExecutorFault::Forgets,
    ExecutorFault::Drips,
];

struct Generator {
    rng: Pcg64Mcg,
    size: Size,
}

/// Generates the plan of a seed.
#[must_use]
pub fn generate(seed: u64, size: Size) -> Plan {
    let mut generator = Generator { rng: Pcg64Mcg::seed_from_u64(seed), size };
    let settings = RunSettings::random(&mut generator.rng);
    let shims = (0..size.nodes).filter_map(|node| {
        let plan = generator.draw_shim_plan();
        (!plan.is_empty()).then_some(Shim { node, plan })
    });
    let shims = shims.collect();
    let mut faults = Vec::new();
    let mut burst_ms = generator.rng.random_range(300..MAX_BURST_INTERVAL_MS);
    while burst_ms + BURST_DURATION_MS < size.span_ms {
        for _ in 0..generator.rng.random_range(MAX_BURST_FAULTS / 2..=MAX_BURST_FAULTS) {
            let begins_ms = burst_ms + generator.rng.random_range(0..BURST_DURATION_MS);
            faults.push(generator.draw_fault(begins_ms));
        }
        burst_ms += generator.rng.random_range(BURST_DURATION_MS..MAX_BURST_INTERVAL_MS);
    }
    // These faults have a random generator of their own, so that the faults above stay the same for a seed.
    let mut second_generator = Generator { rng: Pcg64Mcg::seed_from_u64(!seed), size };
    second_generator.add_signals(&mut faults);
    second_generator.add_crowds(&mut faults);
    second_generator.add_outages(&mut faults);
    Plan {
        seed,
        nodes: size.nodes,
        executors: size.executors,
        clients: size.clients,
        bad_clients: (size.clients / 8).max(1),
        rate: size.clients as f64 * REQUESTS_PER_S_PER_CLIENT,
        span_ms: size.span_ms,
        calm_ms: CALM_MS,
        settings,
        shims,
        faults,
    }
}

impl Generator {
    fn draw_node(&mut self) -> usize {
        self.rng.random_range(0..self.size.nodes)
    }

    fn draw_executor(&mut self) -> usize {
        self.rng.random_range(0..self.size.executors)
    }

    fn draw_ms(&mut self, min: u64, max: u64) -> u64 {
        self.rng.random_range(min..=max)
    }

    /// Draws a set of nodes, at least one.
    fn draw_nodes(&mut self) -> Vec<usize> {
        let share: f64 = self.rng.random_range(0.1..0.6);
        let mut nodes: Vec<usize> = (0..self.size.nodes).filter(|_| self.rng.random_bool(share)).collect();
        if nodes.is_empty() {
            nodes.push(self.draw_node());
        }
        nodes
    }

    /// Draws one fault of a burst.
    fn draw_fault(&mut self, at_ms: u64) -> Fault {
        match self.rng.random_range(0..20) {
            0 | 1 => {
                let shim = self.draw_shim_plan();
                Fault::StopNode { at_ms, node: self.draw_node(), back_after_ms: self.draw_ms(0, 1_500), shim }
            }
            2 => {
                let shim = self.draw_shim_plan();
                Fault::KillNode {
                    at_ms,
                    node: self.draw_node(),
                    back_after_ms: self.draw_ms(1_000, 2_500),
                    shim,
                }
            }
            3 | 4 => Fault::PauseNode { at_ms, node: self.draw_node(), for_ms: self.draw_ms(50, 1_500) },
            5 | 6 => Fault::Reload {
                at_ms,
                nodes: self.draw_nodes(),
                twice: self.rng.random_bool(0.4),
                bad_first: self.rng.random_bool(0.3),
            },
            7 | 8 => Fault::Drain {
                at_ms,
                executor: self.draw_executor(),
                left_after_ms: self.draw_ms(300, 4_000),
            },
            9 | 10 => {
                Fault::Replace { at_ms, executor: self.draw_executor(), same_name: self.rng.random_bool(0.5) }
            }
            11 => Fault::Restart { at_ms, executor: self.draw_executor(), down_ms: self.draw_ms(0, 800) },
            12..=14 => Fault::Ail {
                at_ms,
                executor: self.draw_executor(),
                for_ms: self.draw_ms(300, 4_000),
                how: EXECUTOR_FAULTS[self.rng.random_range(0..EXECUTOR_FAULTS.len())],
                rate: self.rng.random_range(0.2..1.0),
            },
            15 => Fault::DiscoveryDown { at_ms, for_ms: self.draw_ms(200, 4_000) },
            16 => Fault::WatchesMute { at_ms },
            17 => Fault::WatchesReset { at_ms },
            18 => Fault::DiscoverySlow {
                at_ms,
                for_ms: self.draw_ms(500, 3_000),
                each_ms: self.draw_ms(100, 2_500),
            },
            _ => Fault::IdleFlood {
                at_ms,
                node: self.draw_node(),
                connections: self.rng.random_range(20..200),
                for_ms: self.draw_ms(500, 3_000),
            },
        }
    }

    /// Adds sequences of signals.
    fn add_signals(&mut self, faults: &mut Vec<Fault>) {
        const ALL: [SignalSequence; 4] = [
            SignalSequence::ReloadReloadStop,
            SignalSequence::ReloadStop,
            SignalSequence::StopReloadAtStart,
            SignalSequence::PauseStopResume,
        ];
        for series in ALL {
            for _ in 0..self.rng.random_range(0..=2) {
                faults.push(Fault::Signals {
                    at_ms: self.draw_ms(300, self.size.span_ms),
                    node: self.draw_node(),
                    series,
                    // A program that has just started has no signal handler yet, and SIGHUP would end it.
                    after_ms: self.draw_ms(200, 900),
                    back_after_ms: self.draw_ms(0, 1_500),
                });
            }
        }
    }

    /// In some runs, adds crowds that use up, or nearly use up, the connections of a node.
    fn add_crowds(&mut self, faults: &mut Vec<Fault>) {
        if !self.rng.random_bool(CROWD_SHARE) {
            return;
        }
        for _ in 0..self.rng.random_range(1..=3) {
            let total = self.rng.random_range(CROWD_CONNECTIONS);
            let half = (total as f64 * self.rng.random_range(0.3..1.0)) as usize;
            let unread = self.rng.random_range(0..=(total - half) / 2);
            faults.push(Fault::Crowd {
                at_ms: self.draw_ms(300, self.size.span_ms),
                node: self.draw_node(),
                half,
                unread,
                idle: total - half - unread,
                for_ms: self.draw_ms(1_000, 5_000),
            });
        }
    }

    /// In some runs, adds a long outage of discovery in which nodes restart. Also adds restarts after which connects fail.
    fn add_outages(&mut self, faults: &mut Vec<Fault>) {
        if self.rng.random_bool(OUTAGE_SHARE) {
            let begins_ms = self.draw_ms(300, self.size.span_ms / 2);
            let for_ms = self.draw_ms(LONG_OUTAGE_MS.start, LONG_OUTAGE_MS.end);
            faults.push(Fault::DiscoveryDown { at_ms: begins_ms, for_ms });
            for node in self.draw_nodes() {
                let (at_ms, back_after_ms) = (begins_ms + self.draw_ms(0, 2_000), self.draw_ms(1_000, 2_500));
                faults.push(Fault::KillNode { at_ms, node, back_after_ms, shim: String::new() });
            }
        }
        for _ in 0..self.rng.random_range(0..=3) {
            let (from, rate) = (self.draw_ms(0, 2_000), self.rng.random_range(0.1..0.7));
            let (until, seed) = (from + self.draw_ms(500, 4_000), self.rng.random_range(1..1_000_000));
            let shim = format!("seed={seed}; connect={rate:.2}:EHOSTUNREACH,ETIMEDOUT@{from}..{until}");
            let (at_ms, back_after_ms) = (self.draw_ms(300, self.size.span_ms), self.draw_ms(0, 1_000));
            faults.push(Fault::StopNode { at_ms, node: self.draw_node(), back_after_ms, shim });
        }
    }

    /// Draws the shim plan of one process; often an empty one.
    fn draw_shim_plan(&mut self) -> String {
        if !self.rng.random_bool(SHIM_SHARE) {
            return String::new();
        }
        let mut rules = vec![format!("seed={}", self.rng.random_range(1..1_000_000))];
        for _ in 0..self.rng.random_range(1..=3) {
            let from = self.draw_ms(0, 8_000);
            let until = from + self.draw_ms(100, 3_000);
            let rate = self.rng.random_range(0.05..0.6);
            rules.push(match self.rng.random_range(0..10) {
                0 => format!("accept={rate:.2}@{from}..{until}"),
                1 => format!("socket={rate:.2}@{from}..{until}"),
                2 | 3 => format!("connect={rate:.2}@{from}..{until}"),
                4 => format!("wait={rate:.2}"),
                5 => format!("read={rate:.2}; write={rate:.2}"),
                6 => format!("short={rate:.2}"),
                7 => format!("open={rate:.2}@{from}..{until}"),
                8 => format!("{BROKEN_CONNECTIONS_RULE}={:.3}@{from}..{until}", rate / 20.0),
                _ => {
                    let by_ms =
                        if self.rng.random_bool(0.5) { 3_600_000 } else { self.draw_ms(1_000, 9_000) };
                    let sign = if self.rng.random_bool(0.5) { "-" } else { "" };
                    format!("clock={sign}{by_ms}@{from}")
                }
            });
        }
        rules.join("; ")
    }
}
