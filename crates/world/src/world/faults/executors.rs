//! Faults of executors.

use linestack_core::Nanos;
use linestack_dispatch::types::Health;
use rand::Rng as _;

use crate::executor::ActiveFaults;
use crate::scenario::{Fault, FaultSpec, seconds};
use crate::world::discovery::Detection;
use crate::world::event::{Event, FaultPhase};
use crate::world::{SECOND, World};

/// In a roll, an executor drains this long after its replacement has joined, and then leaves.
const ROLL_DRAINS_AFTER: Nanos = SECOND;
const ROLL_LEAVES_AFTER: Nanos = 5 * SECOND;

/// Seconds between two pauses of an executor, on average.
const MEAN_TIME_BETWEEN_PAUSES_S: f64 = 1.5;

/// Seconds that a neighbour's program runs, and rests, on average.
const MEAN_NEIGHBOUR_SPAN_S: f64 = 2.0;

/// Seconds between two toggles at least.
const MIN_TOGGLE_SPAN_S: f64 = 0.001;

/// Slowed executors keep at least this part of their speed.
const MIN_SPEED: f64 = 0.01;

/// The `size` of a cut that loses answers alone, and of one that loses sends alone.
const CUT_ANSWERS_ALONE: f64 = 1.0;
const CUT_SENDS_ALONE: f64 = 2.0;

impl World<'_> {
    /// [`Fault::Grow`]: new executors join one after the other, like those that are there.
    pub(super) fn grow(&mut self, trouble: &FaultSpec) {
        let count = (self.executors.len() as f64 * trouble.part).round().max(1.0) as usize;
        for place in 0..count {
            let model = &self.executors[place % self.executors.len()];
            let (spec, zone) = (model.spec, model.zone);
            let after = seconds(trouble.for_s * place as f64 / count as f64);
            self.schedule_after(after, Event::ExecutorJoins { spec, zone });
        }
    }

    /// [`Fault::Roll`]: one executor after the other is replaced by a new one.
    pub(super) fn roll(&mut self, trouble: &FaultSpec, targets: &[usize]) {
        let gap_s = trouble.for_s / targets.len() as f64;
        for (place, &executor) in targets.iter().enumerate() {
            let joins = seconds(gap_s * place as f64);
            let (spec, zone) = (self.executors[executor].spec, self.executors[executor].zone);
            self.schedule_after(joins, Event::ExecutorJoins { spec, zone });
            self.schedule_after(joins + ROLL_DRAINS_AFTER, Event::ExecutorDrains { executor });
            self.schedule_after(joins + ROLL_LEAVES_AFTER, Event::ExecutorLeaves { executor });
        }
    }

    /// A fault of a single executor begins or ends. One that has collapsed is past all faults.
    pub(super) fn executor_fault(&mut self, fault: usize, index: usize, phase: FaultPhase) {
        let executor = &mut self.executors[index];
        if executor.collapsed {
            return;
        }
        executor.advance(self.now);
        let trouble = &self.scenario.faults[fault];
        match trouble.kind {
            Fault::Crash => return self.crash(index, phase),
            Fault::Vanish => return self.vanish(index, phase),
            Fault::Drain => return self.drain(index, phase),
            Fault::Pauses | Fault::Neighbour => self.intermittent(fault, index, phase),
            Fault::Cut => self.cut(index, trouble, phase),
            _ => impair(&mut executor.faults, trouble, phase),
        }
        self.run_executor(index);
    }

    /// [`Fault::Crash`]
    fn crash(&mut self, index: usize, phase: FaultPhase) {
        match phase {
            FaultPhase::Begins => {
                self.executor_ends(index);
                self.announce(index, Health::Gone, Detection::Silent);
            }
            FaultPhase::Ends => self.executor_starts(index),
        }
    }

    /// [`Fault::Vanish`]: connections stay open, and are reset when the machine is back without its jobs.
    fn vanish(&mut self, index: usize, phase: FaultPhase) {
        self.executors[index].faults.unreachable = phase.begins();
        match phase {
            FaultPhase::Begins => {
                self.update_truth(index);
                self.announce(index, Health::Gone, Detection::Silent);
            }
            FaultPhase::Ends => {
                self.executor_ends(index);
                self.executor_starts(index);
            }
        }
    }

    /// [`Fault::Drain`]
    fn drain(&mut self, index: usize, phase: FaultPhase) {
        match phase {
            FaultPhase::Begins => self.executor_drains(index),
            FaultPhase::Ends => self.executor_leaves(index),
        }
    }

    /// [`Fault::Cut`]: when it is over neither side knows what the other missed, so that all connections are
    /// reset and the executor's jobs are lost.
    fn cut(&mut self, index: usize, trouble: &FaultSpec, phase: FaultPhase) {
        let faults = &mut self.executors[index].faults;
        faults.inbound_cut = phase.begins() && trouble.size != CUT_ANSWERS_ALONE;
        faults.outbound_cut = phase.begins() && trouble.size != CUT_SENDS_ALONE;
        if phase == FaultPhase::Ends {
            self.reset_connections_of(index);
            self.drop_all_jobs(index);
            self.executors[index].incarnation += 1;
        }
    }

    /// [`Fault::Pauses`] and [`Fault::Neighbour`], which come and go while they last.
    fn intermittent(&mut self, fault: usize, index: usize, phase: FaultPhase) {
        match phase {
            FaultPhase::Begins => {
                self.schedule_after(0, Event::FaultToggles { fault, executor: index, on: true });
            }
            FaultPhase::Ends => {
                let faults = &mut self.executors[index].faults;
                faults.paused = false;
                faults.neighbour_active = false;
            }
        }
    }

    /// An intermittent fault comes or goes, and its next change is scheduled while it lasts.
    pub(in crate::world) fn fault_toggles(&mut self, fault: usize, index: usize, on: bool) {
        let trouble = &self.scenario.faults[fault];
        let over = self.now >= seconds(trouble.at_s + trouble.for_s);
        let on = on && !over;
        let executor = &mut self.executors[index];
        executor.advance(self.now);
        let chance = self.rng.random_range(0.5..1.5);
        let faults = &mut executor.faults;
        let span_s = if trouble.kind == Fault::Pauses {
            faults.paused = on;
            if on { trouble.size } else { MEAN_TIME_BETWEEN_PAUSES_S * chance }
        } else {
            faults.neighbour_share = trouble.size.min(1.0);
            faults.neighbour_active = on;
            MEAN_NEIGHBOUR_SPAN_S * chance
        };
        self.run_executor(index);
        if !over {
            let span = seconds(span_s.max(MIN_TOGGLE_SPAN_S));
            self.schedule_after(span, Event::FaultToggles { fault, executor: index, on: !on });
        }
    }
}

/// Sets or clears a fault that is a single figure or flag of an executor.
fn impair(faults: &mut ActiveFaults, trouble: &FaultSpec, phase: FaultPhase) {
    let on = phase.begins();
    let size = if on { trouble.size } else { 0.0 };
    match trouble.kind {
        Fault::Hang => faults.hangs = on,
        Fault::Slow => faults.slowed_to = on.then_some(trouble.size.max(MIN_SPEED)),
        Fault::FastErrors => faults.error_rate = size,
        Fault::ProductFails => faults.product_fails = on,
        Fault::Lose => faults.loss_rate = size,
        Fault::Refuse => faults.refusal_rate = size,
        Fault::Garbage => faults.garbage_rate = size,
        Fault::Lie => faults.reports_idle = on,
        Fault::ReportsLate => faults.report_delay = seconds(size),
        _ => {}
    }
}
