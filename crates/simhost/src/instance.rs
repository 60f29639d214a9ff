//! One simulated node: a dispatcher, and the maps between the ids of the wire and the dispatcher's small indices.

use std::collections::HashMap;

use linestack_dispatch::decide::Dispatcher;
use linestack_dispatch::types::{Action, Ending, Event, Nanos, WorkerEntry};
use linestack_settings::{ReportLayout, Settings};
use linestack_simwire::{Incoming, ListEntry, Outgoing, Reply};

/// The state of one instance.
pub struct Instance {
    node: u16,
    dispatcher: Dispatcher,
    layout: ReportLayout,
    /// The index of the submission for each call on the wire.
    submissions: HashMap<u64, u32>,
    /// The call on the wire for each index of a submission.
    calls: Vec<u64>,
    /// Indices of submissions that are free again.
    free: Vec<u32>,
    /// The index of the worker for each executor on the wire.
    workers: HashMap<u32, u32>,
    /// The executor on the wire for each index of a worker.
    executors: Vec<u32>,
    entries: Vec<WorkerEntry>,
}

impl Instance {
    /// Starts an instance with these settings.
    pub fn new(node: u16, settings: Settings) -> Self {
        Self {
            node,
            dispatcher: Dispatcher::new(settings.dispatch),
            layout: settings.layout,
            submissions: HashMap::new(),
            calls: Vec::new(),
            free: Vec::new(),
            workers: HashMap::new(),
            executors: Vec::new(),
            entries: Vec::new(),
        }
    }

    /// Passes an event to the dispatcher and adds the resulting actions to the reply. Events about submissions or workers
    /// that this instance does not know, or does not know any longer, are dropped.
    pub fn handle(&mut self, clock: Nanos, event: Incoming, reply: &mut Reply) {
        if let Some(event) = self.translate(event) {
            // The event borrows the entries, so they are moved out of `self` until the event is handled.
            let entries = std::mem::take(&mut self.entries);
            let event = match event {
                Event::ListReceived { kind, .. } => Event::ListReceived { kind, entries: &entries },
                other => other,
            };
            for action in self.dispatcher.decide(clock, event) {
                let call = |submission: &u32| self.calls[*submission as usize];
                let outgoing = match action {
                    Action::Execute { submission, worker, timeout } => Outgoing::Execute {
                        call: call(submission),
                        timeout: *timeout,
                        executor: self.executors[*worker as usize],
                    },
                    Action::Cancel { submission, execution } => {
                        Outgoing::Cancel { call: call(submission), execution: *execution }
                    }
                    Action::Dismiss { submission, retry_after } => {
                        Outgoing::Dismiss { call: call(submission), retry_after: retry_after.unwrap_or(0) }
                    }
                    Action::Abort { submission } => Outgoing::Abort { call: call(submission) },
                    Action::Probe { worker } => {
                        Outgoing::Probe { executor: self.executors[*worker as usize] }
                    }
                    Action::CloseIdleConnections { worker } => {
                        Outgoing::CloseIdleConnections { executor: self.executors[*worker as usize] }
                    }
                    Action::Subscribe => Outgoing::Subscribe,
                    Action::SetTimer { at, timer_id } => Outgoing::SetTimer { at: *at, timer_id: *timer_id },
                    Action::Forget { submission } => {
                        self.submissions.remove(&call(submission));
                        self.free.push(*submission);
                        continue;
                    }
                };
                reply.push(self.node, outgoing);
            }
            self.entries = entries;
        }
    }

    fn translate(&mut self, event: Incoming) -> Option<Event<'static>> {
        let known = |call: u64| self.submissions.get(&call).copied();
        Some(match event {
            Incoming::Start(_) | Incoming::Killed | Incoming::PeerMessage => return None,
            Incoming::ListReceived { kind, entries } => {
                self.entries.clear();
                for e in entries {
                    let worker = *self.workers.entry(e.executor).or_insert_with(|| {
                        self.executors.push(e.executor);
                        self.executors.len() as u32 - 1
                    });
                    let ListEntry { health, kind, zone, cell, started, weight, .. } = e;
                    self.entries.push(WorkerEntry { worker, health, kind, zone, cell, started, weight });
                }
                Event::ListReceived { kind, entries: &[] }
            }
            Incoming::Submitted { call, job } => {
                if known(call).is_some() {
                    return None;
                }
                let submission = self.free.pop().unwrap_or(self.calls.len() as u32);
                if submission as usize == self.calls.len() {
                    self.calls.push(call);
                } else {
                    self.calls[submission as usize] = call;
                }
                self.submissions.insert(call, submission);
                Event::Submitted { submission, job }
            }
            Incoming::ClientLeft { call } => Event::ClientLeft { submission: known(call)? },
            Incoming::Streaming { call, execution } => {
                Event::Streaming { submission: known(call)?, execution }
            }
            Incoming::Progressed { call, execution } => {
                Event::Progressed { submission: known(call)?, execution }
            }
            Incoming::Ended { call, execution, executor, outcome, closed, took, figures } => {
                Event::Ended(Ending {
                    submission: known(call)?,
                    execution,
                    worker: *self.workers.get(&executor)?,
                    outcome,
                    closed,
                    took,
                    report: self.layout.report(|index| figures.get(index)),
                })
            }
            Incoming::Probed { executor, outcome, figures } => Event::Probed {
                worker: *self.workers.get(&executor)?,
                outcome,
                report: self.layout.report(|index| figures.get(index)),
            },
            Incoming::TimerFired { timer_id } => Event::TimerFired { timer_id },
        })
    }
}
