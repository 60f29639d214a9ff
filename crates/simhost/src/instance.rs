//! One simulated node: a dispatcher, and the maps between the ids in the simulator's protocol and the
//! dispatcher's indices.

use std::collections::HashMap;

use linestack_dispatch::decide::Dispatcher;
use linestack_dispatch::types::{Action, Ending, Event, Nanos, WorkerEntry};
use linestack_settings::{ReportLayout, Settings};
use linestack_simwire::{Incoming, ListEntry, Outgoing, Reply};

/// A dispatcher and the ids of its submissions and executors in the protocol. A submission has a `call` there, and a worker
/// an executor id.
pub struct Instance {
    /// The number of the instance in the protocol.
    node: u16,
    dispatcher: Dispatcher,
    /// The order of the figures in a load report.
    layout: ReportLayout,
    /// The index of the submission of each call that the dispatcher has not forgotten.
    submission_of_call: HashMap<u64, u32>,
    /// The call of each submission, by index. The calls of free indices are outdated.
    call_of_submission: Vec<u64>,
    /// The indices of forgotten submissions, which are assigned again, the last one first.
    free_submissions: Vec<u32>,
    /// The index of the worker of each executor id.
    worker_of_executor: HashMap<u32, u32>,
    /// The executor id of each worker, by index.
    executor_of_worker: Vec<u32>,
    /// The entries of the last received list, kept to reuse the allocation.
    list_entries: Vec<WorkerEntry>,
}

impl Instance {
    /// Creates an instance with these settings and no submissions or workers.
    pub fn new(node: u16, settings: Settings) -> Self {
        Self {
            node,
            dispatcher: Dispatcher::new(settings.dispatch),
            layout: settings.layout,
            submission_of_call: HashMap::new(),
            call_of_submission: Vec::new(),
            free_submissions: Vec::new(),
            worker_of_executor: HashMap::new(),
            executor_of_worker: Vec::new(),
            list_entries: Vec::new(),
        }
    }

    /// Passes an event to the dispatcher and adds the resulting actions to the reply. Events about submissions or workers
    /// that this instance does not know, or does not know any longer, are dropped.
    pub fn handle(&mut self, now: Nanos, event: Incoming, reply: &mut Reply) {
        if let Some(event) = self.translate(event) {
            // The event borrows the entries, so they are moved out of `self` until the event is handled.
            let entries = std::mem::take(&mut self.list_entries);
            let event = match event {
                Event::ListReceived { kind, .. } => Event::ListReceived { kind, entries: &entries },
                other => other,
            };
            for action in self.dispatcher.decide(now, event) {
                let call = |submission: &u32| self.call_of_submission[*submission as usize];
                let outgoing = match action {
                    Action::Execute { submission, worker, timeout } => Outgoing::Execute {
                        call: call(submission),
                        timeout: *timeout,
                        executor: self.executor_of_worker[*worker as usize],
                    },
                    Action::Cancel { submission, execution } => {
                        Outgoing::Cancel { call: call(submission), execution: *execution }
                    }
                    Action::Dismiss { submission, retry_after } => {
                        Outgoing::Dismiss { call: call(submission), retry_after: retry_after.unwrap_or(0) }
                    }
                    Action::Abort { submission } => Outgoing::Abort { call: call(submission) },
                    Action::Probe { worker } => {
                        Outgoing::Probe { executor: self.executor_of_worker[*worker as usize] }
                    }
                    Action::CloseIdleConnections { worker } => {
                        Outgoing::CloseIdleConnections { executor: self.executor_of_worker[*worker as usize] }
                    }
                    Action::Subscribe => Outgoing::Subscribe,
                    Action::SetTimer { at, timer_id } => Outgoing::SetTimer { at: *at, timer_id: *timer_id },
                    Action::Forget { submission } => {
                        self.submission_of_call.remove(&call(submission));
                        self.free_submissions.push(*submission);
                        continue;
                    }
                };
                reply.push(self.node, outgoing);
            }
            self.list_entries = entries;
        }
    }

    /// Replaces the ids in an event by the dispatcher's indices, and assigns indices to new ids. The entries of a list go into
    /// `list_entries`, not into the event. Returns none for an event that the dispatcher does not get.
    fn translate(&mut self, event: Incoming) -> Option<Event<'static>> {
        let known = |call: u64| self.submission_of_call.get(&call).copied();
        Some(match event {
            Incoming::Start(_) | Incoming::Killed | Incoming::PeerMessage => return None,
            Incoming::ListReceived { kind, entries } => {
                self.list_entries.clear();
                for e in entries {
                    let worker = *self.worker_of_executor.entry(e.executor).or_insert_with(|| {
                        self.executor_of_worker.push(e.executor);
                        self.executor_of_worker.len() as u32 - 1
                    });
                    let ListEntry { health, kind, zone, cell, started, weight, .. } = e;
                    self.list_entries.push(WorkerEntry { worker, health, kind, zone, cell, started, weight });
                }
                Event::ListReceived { kind, entries: &[] }
            }
            Incoming::Submitted { call, job } => {
                if known(call).is_some() {
                    return None;
                }
                let submission = self.free_submissions.pop().unwrap_or(self.call_of_submission.len() as u32);
                if submission as usize == self.call_of_submission.len() {
                    self.call_of_submission.push(call);
                } else {
                    self.call_of_submission[submission as usize] = call;
                }
                self.submission_of_call.insert(call, submission);
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
                    worker: *self.worker_of_executor.get(&executor)?,
                    outcome,
                    closed,
                    took,
                    report: self.layout.report(|index| figures.get(index)),
                })
            }
            Incoming::Probed { executor, outcome, figures } => Event::Probed {
                worker: *self.worker_of_executor.get(&executor)?,
                outcome,
                report: self.layout.report(|index| figures.get(index)),
            },
            Incoming::TimerFired { timer_id } => Event::TimerFired { timer_id },
        })
    }
}
