//! Faults of executors.

use linestack_core::Nanos;
use linestack_dispatch::types::Health;
use rand::Rng as _;

use crate::executor::{ActiveFaults, MIN_SPEED_SHARE};
use crate::scenario::{Fault, FaultSpec, seconds_to_nanos};
use crate::world::discovery::Detection;
use crate::world::event::{Event, FaultPhase};
use crate::world::{SECOND, World};

/// In a rolling replacement, the delays after the replacement has joined at which an executor drains and
/// leaves.
const ROLL_DRAIN_DELAY: Nanos = SECOND;
const ROLL_LEAVE_DELAY: Nanos = 5 * SECOND;

/// The mean time between two pauses of an executor, in seconds.
const MEAN_TIME_BETWEEN_PAUSES_S: f64 = 1.5;

/// The mean duration of each busy and each idle phase of the other program, in seconds.
const MEAN_NEIGHBOUR_PHASE_S: f64 = 2.0;

/// The minimum time between two toggles of an intermittent fault, in seconds.
const MIN_TOGGLE_SPAN_S: f64 = 0.001;

/// The `size` of a cut that loses only answers.
const CUT_ANSWERS_ONLY: f64 = 1.0;
/// The `size` of a cut that loses only sends.
const CUT_SENDS_ONLY: f64 = 2.0;

impl World<'_> {
    /// Applies [`Fault::Grow`]: new executors like the existing ones join one after the other.
    pub(super) fn grow(&mut self, fault_spec: &FaultSpec) {
        let count = (self.executors.len() as f64 * fault_spec.part).round().max(1.0) as usize;
        for index in 0..count {
            let model = &self.executors[index % self.executors.len()];
            let (kind_index, zone) = (model.kind_index, model.zone);
            let after = seconds_to_nanos(fault_spec.for_s * index as f64 / count as f64);
            self.schedule_after(after, Event::ExecutorJoins { kind_index, zone });
        }
    }

    /// Applies [`Fault::Roll`]: one executor after the other is replaced by a new one.
    pub(super) fn roll(&mut self, fault_spec: &FaultSpec, targets: &[usize]) {
        let gap_s = fault_spec.for_s / targets.len() as f64;
        for (index, &executor) in targets.iter().enumerate() {
            let joins = seconds_to_nanos(gap_s * index as f64);
            let (kind_index, zone) = (self.executors[executor].kind_index, self.executors[executor].zone);
            self.schedule_after(joins, Event::ExecutorJoins { kind_index, zone });
            self.schedule_after(joins + ROLL_DRAIN_DELAY, Event::ExecutorDrains { executor });
            self.schedule_after(joins + ROLL_LEAVE_DELAY, Event::ExecutorLeaves { executor });
        }
    }

    /// A fault of a single executor begins or ends. Faults do not affect an executor that has collapsed.
    pub(super) fn executor_fault(&mut self, fault: usize, index: usize, phase: FaultPhase) {
        let executor = &mut self.executors[index];
        if executor.collapsed {
            return;
        }
        executor.advance(self.now);
        let fault_spec = &self.scenario.faults[fault];
        match fault_spec.kind {
            Fault::Crash => return self.crash(index, phase),
            Fault::Vanish => return self.vanish(index, phase),
            Fault::Drain => return self.drain(index, phase),
            Fault::Pauses | Fault::Neighbour => self.intermittent(fault, index, phase),
            Fault::Cut => self.cut(index, fault_spec, phase),
            _ => set_active_fault(&mut executor.faults, fault_spec, phase),
        }
        self.run_executor(index);
    }

    /// Applies [`Fault::Crash`].
    fn crash(&mut self, index: usize, phase: FaultPhase) {
        match phase {
            FaultPhase::Begins => {
                self.executor_ends(index);
                self.schedule_discovery_change(index, Health::Gone, Detection::Unannounced);
            }
            FaultPhase::Ends => self.executor_starts(index),
        }
    }

    /// Applies [`Fault::Vanish`]: connections stay open, and are reset when the machine is back without its
    /// jobs.
    fn vanish(&mut self, index: usize, phase: FaultPhase) {
        self.executors[index].faults.unreachable = phase.begins();
        match phase {
            FaultPhase::Begins => {
                self.update_ground_truth(index);
                self.schedule_discovery_change(index, Health::Gone, Detection::Unannounced);
            }
            FaultPhase::Ends => {
                self.executor_ends(index);
                self.executor_starts(index);
            }
        }
    }

    /// Applies [`Fault::Drain`].
    fn drain(&mut self, index: usize, phase: FaultPhase) {
        match phase {
            FaultPhase::Begins => self.executor_drains(index),
            FaultPhase::Ends => self.executor_leaves(index),
        }
    }

    /// Applies [`Fault::Cut`]: when it is over, neither side knows which messages the other has missed, so
    /// all connections are reset and the executor's jobs are lost.
    fn cut(&mut self, index: usize, fault_spec: &FaultSpec, phase: FaultPhase) {
        let faults = &mut self.executors[index].faults;
        faults.inbound_cut = phase.begins() && fault_spec.size != CUT_ANSWERS_ONLY;
        faults.outbound_cut = phase.begins() && fault_spec.size != CUT_SENDS_ONLY;
        if phase == FaultPhase::Ends {
            self.reset_connections_of(index);
            self.drop_all_jobs(index);
            self.executors[index].incarnation += 1;
        }
    }

    /// Applies [`Fault::Pauses`] and [`Fault::Neighbour`], which start and stop repeatedly during their span.
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

    /// An intermittent fault starts or stops. Its next change is scheduled during its span.
    pub(in crate::world) fn fault_toggles(&mut self, fault: usize, index: usize, on: bool) {
        let fault_spec = &self.scenario.faults[fault];
        let ended = self.now >= seconds_to_nanos(fault_spec.at_s + fault_spec.for_s);
        let on = on && !ended;
        let executor = &mut self.executors[index];
        executor.advance(self.now);
        let variation = self.rng.random_range(0.5..1.5);
        let faults = &mut executor.faults;
        let span_s = if fault_spec.kind == Fault::Pauses {
            faults.paused = on;
            if on { fault_spec.size } else { MEAN_TIME_BETWEEN_PAUSES_S * variation }
        } else {
            faults.neighbour_share = fault_spec.size.min(1.0);
            faults.neighbour_active = on;
            MEAN_NEIGHBOUR_PHASE_S * variation
        };
        self.run_executor(index);
        if !ended {
            let span = seconds_to_nanos(span_s.max(MIN_TOGGLE_SPAN_S));
            self.schedule_after(span, Event::FaultToggles { fault, executor: index, on: !on });
        }
    }
}

/// Sets or clears a fault that is a single value of [`ActiveFaults`].
fn set_active_fault(faults: &mut ActiveFaults, fault_spec: &FaultSpec, phase: FaultPhase) {
    let on = phase.begins();
    let size = if on { fault_spec.size } else { 0.0 };
    match fault_spec.kind {
        Fault::Hang => faults.hangs = on,
        Fault::Slow => faults.slowed_to = on.then_some(fault_spec.size.max(MIN_SPEED_SHARE)),
        Fault::FastErrors => faults.error_rate = size,
        Fault::ProductFails => faults.product_fails = on,
        Fault::Lose => faults.loss_rate = size,
        Fault::Refuse => faults.refusal_rate = size,
        Fault::Garbage => faults.garbage_rate = size,
        Fault::Lie => faults.reports_idle = on,
        Fault::ReportsLate => faults.report_delay = seconds_to_nanos(size),
        _ => {}
    }
}
