//! The event loop: what the nodes ask for goes into the world, what happens there comes back to them.

mod clients;
mod discovery;
mod effects;
mod event;
mod execution;
mod faults;
mod fleet;
mod network;
mod nodes;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use linestack_core::{Client, Effect, Input, Nanos};
use linestack_dispatch::types::Health;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::executor::{Executor, Line};
use crate::judge::Judge;
use crate::outcome::Outcome;
use crate::scenario::{Scenario, millis, seconds};
use crate::{Machine, Seat, Truth};
use clients::{Attempt, First};
use event::{Happening, Item};
use execution::Mark;
use network::Connection;
use nodes::{Slot, Watch};

const MS: Nanos = 1_000_000;

const SECOND: Nanos = 1_000 * MS;

/// Silent clients are numbered from here on.
const FLOOD: Client = 1 << 60;

/// After the last client came, what still runs is waited for so long at most.
const AFTER: Nanos = 60 * SECOND;

struct World<'a> {
    s: &'a Scenario,
    rng: Pcg64Mcg,
    now: Nanos,
    queue: BinaryHeap<Reverse<Item>>,
    number: u64,
    nodes: Vec<Slot>,
    executors: Vec<Executor>,
    connections: BTreeMap<Line, Connection>,
    firsts: Vec<First>,
    attempts: Vec<Attempt>,
    /// Stamped work that a group remembers.
    marks: HashMap<(u16, usize), Mark>,
    listed: Vec<(Health, Nanos)>,
    discovery_down: bool,
    discovery_flaps: bool,
    discovery_busy: Nanos,
    resets: f64,
    victims: Vec<Vec<usize>>,
    judge: Judge,
    out: Outcome,
    truth: Arc<Mutex<Truth>>,
    maker: &'a dyn Fn(Seat) -> Box<dyn Machine>,
    effects: Vec<Effect>,
    flood: Client,
    useful: f64,
    open: usize,
}

/// Plays a scenario that [`Scenario::check`] finds no fault with. `maker` makes the nodes.
pub fn run(s: &Scenario, maker: &dyn Fn(Seat) -> Box<dyn Machine>) -> Outcome {
    let mut world = World::new(s, maker);
    world.start();
    let end = seconds(s.span_s);
    while let Some(Reverse(item)) = world.queue.pop() {
        if item.at > end + AFTER || (item.at > end && world.open == 0) {
            break;
        }
        world.now = item.at;
        world.out.events += 1;
        world.happen(item.what);
    }
    world.finish()
}

fn count(seconds: &mut Vec<u64>, at: Nanos) {
    let second = (at / SECOND) as usize;
    if seconds.len() <= second {
        seconds.resize(second + 1, 0);
    }
    seconds[second] += 1;
}

impl<'a> World<'a> {
    fn new(s: &'a Scenario, maker: &'a dyn Fn(Seat) -> Box<dyn Machine>) -> Self {
        let rules = &s.rules;
        let judge = Judge::new(
            millis(rules.drain_grace_ms),
            millis(rules.slack_ms),
            millis(rules.fall_window_ms),
            rules.fall_multiple,
        );
        let out = Outcome {
            scenario: s.name.clone(),
            seed: s.seed,
            by_product: vec![0.0; s.products.len()],
            by_tenant: vec![0.0; s.tenants.len()],
            ..Outcome::default()
        };
        Self {
            s,
            rng: Pcg64Mcg::seed_from_u64(s.seed),
            now: SECOND,
            queue: BinaryHeap::new(),
            number: 0,
            nodes: Vec::new(),
            executors: Vec::new(),
            connections: BTreeMap::new(),
            firsts: Vec::new(),
            attempts: Vec::new(),
            marks: HashMap::new(),
            listed: Vec::new(),
            discovery_down: false,
            discovery_flaps: false,
            discovery_busy: 0,
            resets: 0.0,
            victims: vec![Vec::new(); s.troubles.len()],
            judge,
            out,
            truth: Arc::default(),
            maker,
            effects: Vec::new(),
            flood: FLOOD,
            useful: 0.0,
            open: 0,
        }
    }

    fn at(&mut self, at: Nanos, what: Happening) {
        self.number += 1;
        let item = Item { at: at.max(self.now), number: self.number, what };
        self.queue.push(Reverse(item));
    }

    fn after(&mut self, span: Nanos, what: Happening) {
        self.at(self.now + span, what);
    }

    fn start(&mut self) {
        // A small part of a second is left before the first client, for lists and probes.
        self.now = 0;
        for (spec, e) in self.s.executors.iter().enumerate() {
            for i in 0..e.count {
                let zone = ((i as usize + spec) % usize::from(self.s.zones)) as u16;
                self.join(spec, zone);
            }
        }
        self.listed = self.executors.iter().map(|_| (Health::Ready, 0)).collect();
        for node in 0..self.s.nodes.count as usize {
            let zone = (node % usize::from(self.s.zones)) as u16;
            self.nodes.push(Slot {
                machine: None,
                life: 0,
                zone,
                admitted: false,
                stopping: false,
                armed: Nanos::MAX,
                busy_until: 0,
                paused_until: 0,
                inbox: VecDeque::new(),
                resuming: false,
                watch: Watch::Off,
                cpu: self.s.nodes.cpu_us * 1e3,
                kept: Vec::new(),
            });
            lock(&self.truth).places.push(Vec::new());
            let spread = self.rng.random_range(0..100 * MS);
            self.after(spread, Happening::Starts { node });
        }
        let begins = 200 * MS;
        if self.s.load.closed > 0 {
            for client in 0..self.s.load.closed as usize {
                let spread = self.rng.random_range(0..100 * MS);
                self.at(begins + spread, Happening::Asks { client });
            }
        } else {
            self.at(begins, Happening::Arrives);
        }
        for (which, t) in self.s.troubles.iter().enumerate() {
            self.at(seconds(t.at_s), Happening::Trouble { which, begins: true });
            self.at(seconds(t.at_s + t.for_s), Happening::Trouble { which, begins: false });
        }
        self.at(SECOND, Happening::Sweep);
    }

    fn finish(mut self) -> Outcome {
        self.judge.sweep(self.now + AFTER);
        self.out.breaches = std::mem::take(&mut self.judge.breaches);
        self.out.broken = self.judge.broken;
        self.out.work_by_executor = self.executors.iter().map(|e| e.worked).collect();
        let worked: f64 = self.out.work_by_executor.iter().sum();
        self.out.waste = if worked > 0.0 { (1.0 - self.useful / worked).max(0.0) } else { 0.0 };
        self.out.finish(self.s);
        self.out
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrives => self.arrives(),
            Happening::Asks { client } => {
                if self.now < seconds(self.s.span_s) {
                    self.ask(Some(client));
                }
            }
            Happening::AtNode { attempt } => self.at_node(attempt),
            Happening::Back { attempt, ending } => self.back(attempt, ending),
            Happening::GivesUp { attempt, leaves } => self.gives_up(attempt, leaves),
            Happening::Again { first } => self.attempt(first, 0),
            Happening::Feed { node, life, input } => self.feed(node, life, input),
            Happening::Resume { node, life } => {
                if self.nodes[node].life == life {
                    self.nodes[node].resuming = false;
                    self.work(node);
                }
            }
            Happening::Tick { node, life, at } => {
                if self.nodes[node].life == life && self.nodes[node].armed == at {
                    self.nodes[node].armed = Nanos::MAX;
                    self.feed(node, life, Input::Tick);
                }
            }
            Happening::Syn { line } => self.syn(line),
            Happening::Up { line } => {
                let up = self.connections.get_mut(&line).filter(|c| !c.closed);
                if up.map(|c| c.up = true).is_some() {
                    self.feed(line.node, line.life, Input::LinkUp { link: line.link });
                }
            }
            Happening::Down { line, broken } => self.down(line, broken),
            Happening::Fin { line } => self.fin(line),
            Happening::Request { line, attempt } => self.request(line, attempt),
            Happening::Probe { line } => self.probe(line),
            Happening::Probed { line, answered, report } => {
                if self.heard(line) {
                    let link = line.link;
                    self.feed(line.node, line.life, Input::Probed { link, answered, report });
                    self.feed(line.node, line.life, Input::Freed { link, named: true });
                }
            }
            Happening::Reply { line, attempt, ended, report } => self.reply(line, attempt, ended, report),
            Happening::Note { line, attempt } => {
                let on = self.connections.get(&line).is_some_and(|c| c.busy == Some(Some(attempt)));
                if on {
                    self.feed(line.node, line.life, Input::Noted { link: line.link });
                }
            }
            Happening::Progress { executor, life, line, attempt } => {
                let e = &self.executors[executor];
                let running =
                    e.life == life && e.running.iter().any(|j| j.attempt == attempt && j.line == line);
                if running {
                    if !e.halted() {
                        self.pass_to_node(line, Happening::Note { line, attempt });
                    }
                    let again = Happening::Progress { executor, life, line, attempt };
                    self.after(seconds(self.s.progress_s), again);
                }
            }
            Happening::Wake { executor, wake } => {
                if self.executors[executor].wake == wake {
                    self.turn(executor);
                }
            }
            Happening::Trouble { which, begins } => self.trouble(which, begins),
            Happening::Step { which, executor, on } => self.step(which, executor, on),
            Happening::Publish { executor, health, started } => self.publish(executor, health, started),
            Happening::Call { node, life } => self.call(node, life),
            Happening::Starts { node } => self.starts(node),
            Happening::Kill { node, life } => {
                if self.nodes[node].life == life && self.nodes[node].machine.is_some() {
                    self.node_ends(node);
                }
            }
            Happening::Stops { node } => self.stops(node),
            Happening::Notice { node } => {
                let slot = &mut self.nodes[node];
                slot.admitted = slot.machine.as_ref().is_some_and(|m| m.ready(self.now));
            }
            Happening::Drains { executor } => self.drains(executor),
            Happening::Leaves { executor } => {
                self.executor_ends(executor, true);
                self.announce(executor, Health::Gone, false);
            }
            Happening::Joins { spec, zone } => {
                let executor = self.join(spec, zone);
                self.executors[executor].started = self.now;
                self.announce(executor, Health::Ready, false);
            }
            Happening::Flood { which, node } => self.flood(which, node),
            Happening::Kept { node, life, keep, ticket } => {
                // What a kill finds on its way to the disk is lost.
                if self.nodes[node].life == life && self.nodes[node].machine.is_some() {
                    self.nodes[node].kept.push(keep);
                    if let Some(ticket) = ticket {
                        self.feed(node, life, Input::Kept { ticket, lasts: true });
                    }
                }
            }
            Happening::Sweep => {
                self.judge.sweep(self.now);
                let now = self.now;
                self.marks.retain(|_, m| m.held > 0 || m.until > now);
                self.after(SECOND, Happening::Sweep);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
