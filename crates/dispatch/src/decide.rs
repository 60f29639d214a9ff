//! All decisions of a node. The caller makes one [`Dispatcher`], passes every event to [`Dispatcher::decide`]
//! in the order in which it happens, and carries out the returned actions in their order. The interface is in
//! `types.rs`. Nothing here reads a clock or shares state.
//!
//! A submission normally goes to a random worker below threshold, else to a random ready one. In addition:
//! 1. Worker health: a worker is ejected after a failure or silence, and is used again after it has
//!    answered a number of probes.
//! 2. Overdue executions: a copy is sent to another worker if the product allows a repeat; or the execution
//!    is cancelled first, and the submission is sent on.
//! 3. Slow start: cold workers are drawn with a probability that keeps the jobs of all nodes together below
//!    what a worker can handle just after its start.
//! 4. Admission: the slots in flight are limited by the ratio of the shortest to the current answer time, and
//!    no queue is joined that would make answers late.
//! 5. Fairness: part of the capacity is reserved against submissions beyond a tenant's share, and against
//!    products that pay less.
//! 6. Periodic work: the list of workers is requested, reports are refreshed by probes as far as their cost
//!    allows, and idle connections are closed.

use std::borrow::Cow;

use crate::startup_budget::StartupBudget;
use crate::types::{
    Action, DedupScope, DispatchConfig, Ending, Event, Health, ListKind, Nanos, Outcome, ProbeOutcome,
    RepeatPolicy, Submission, Worker, WorkerEntry,
};
use crate::worker_stats::{
    AnswerTime, Choice, DEFAULT_THRESHOLD_SLOTS, Fleet, InFlight, JobStart, ProvedReportDelay, RankedDraw,
    SubmissionState, TenantStats, TrafficStats, WorkerState, entry_at, mean_answer_time, rounded,
    slowest_answer_time, weighted_median,
};

/// Nanoseconds per second.
const SECOND_NS: f64 = 1e9;

/// The least threshold of a kind of worker, in slots.
const MIN_THRESHOLD_SLOTS: f64 = 2.0;
/// The completed jobs after which a kind's threshold regains a slot.
const COMPLETIONS_PER_SLOT: u32 = 4;
/// The completed jobs after which one of a worker's recent ejections no longer counts.
const COMPLETIONS_PER_EJECTION: u32 = 2 * COMPLETIONS_PER_SLOT;
/// How often repeated failures may double the probes needed or the time until the next try.
const MAX_DOUBLINGS: u32 = 6;
/// The answer time, as a multiple of the shortest, from which the load limit is reduced.
const MAX_ANSWER_TIME_RATIO: f64 = 1.5;
/// The smallest factor by which the load limit is reduced.
const MIN_LOAD_FACTOR: f64 = 0.5;
/// The number of answers over which the answer time ratio is averaged.
const ANSWER_TIME_RATIO_ANSWERS: f64 = 32.0;
/// The number of answers over which the load limit approaches the value that the answer time ratio calls for.
const LOAD_LIMIT_ANSWERS: f64 = 16.0;

/// The points per submission that the probes for refreshing reports may cost, in the unit of
/// [`DispatchConfig::probe_cost`].
const REFRESH_COST_LIMIT: f64 = 0.015;
/// Where starts are reported, that limit is divided by this: a start shows at once what a report shows late.
const REFRESH_COST_DIVISOR_WITH_STARTS: f64 = 10.0;
/// The most probes per submission for refreshing reports, however little a probe costs.
const MAX_REFRESH_PROBES_PER_SUBMISSION: f64 = 64.0;
/// The number of ticks whose probes for refreshing reports may be sent together.
const REFRESH_BURST_TICKS: Nanos = 2;
/// Added to the number of full workers, so that reports are refreshed even if no worker is full.
const ASSUMED_FULL_WORKERS: f64 = 0.5;
/// The number of probes by which probing ejected workers may overdraw the probe budget.
const MAX_PROBE_DEBT_PROBES: f64 = 8.0;
/// An answer to a probe is overdue after the connect timeout divided by this.
const PROBE_OVERDUE_DIVISOR: Nanos = 4;
/// The time, in connect timeouts, after which a busy worker is probed if it has sent no report.
const MAX_UNPROBED_CONNECT_TIMEOUTS: Nanos = 2;
/// While something is awaited, the periodic work is done at intervals of the connect timeout divided by this.
const TICK_DIVISOR: Nanos = 5;
/// The longest interval of the periodic work.
const MAX_TICK_INTERVAL_NS: f64 = 64e9;
/// A busy worker is ejected if it has sent no message for this multiple of the progress interval and the answer
/// time together.
const MAX_SILENCE_FACTOR: f64 = 2.0;

/// The least delay of a list request after a failed one is the list refresh limit divided by this.
const FAILED_LIST_DELAY_DIVISOR: Nanos = 10;
/// The list requests of all nodes are spread over the connect timeout divided by this, for each node.
const LIST_SPREAD_DIVISOR: Nanos = 4;
/// They are spread over at most the list refresh limit divided by this.
const MAX_LIST_SPREAD_DIVISOR: Nanos = 2;

/// The part of the workers reserved for the products that pay best.
const RESERVED_SHARE: f64 = 0.2;
/// The part of the workers reserved against a tenant is its excess over its share, divided by this.
const EXCESS_RESERVE_DIVISOR: f64 = 3.0;
/// The least number of submissions over which tenants' shares are measured.
const SHARE_SAMPLE_SUBMISSIONS: f64 = 64.0;
/// The least time constant with which tenants' shares are measured.
const MIN_SHARE_TIME_CONSTANT_NS: f64 = 2.0 * SECOND_NS;
/// A dismissed submission within its tenant's share is given the longest Retry-After divided by this.
const RETRY_AFTER_DIVISOR: Nanos = 8;

/// A worker that takes this multiple of the mean time for the same jobs is drawn after others of its zone.
const SLOW_RATIO: f64 = 1.1;
/// A worker that takes this multiple is drawn even after workers in other zones.
const VERY_SLOW_RATIO: f64 = 2.0;
/// The age, in answer times, from which a report is worthless.
const REPORT_LIFETIME_ANSWER_TIMES: f64 = 2.0;
/// The age, in answer times, up to which a report is fresh, where not all workers are known.
const FRESH_REPORT_ANSWER_TIMES: f64 = 0.25;
/// The probability that an unknown worker has room. Such a worker is drawn without a report, so room is found
/// only by chance.
const UNKNOWN_ROOM_PROBABILITY: f64 = 0.5;
/// Where starts are reported, a random part of all submissions is dismissed while fewer workers than this share
/// have room.
const OVERLOAD_ROOM_SHARE: f64 = 0.1;
/// The number of random draws that look for an unknown worker.
const UNKNOWN_WORKER_DRAWS: usize = 16;
/// Slow start allows for this many standard deviations of the jobs that all nodes together send at random.
const SLOW_START_DEVIATIONS: f64 = 3.0;

/// A job has started at once if it has started within the connect timeout divided by this.
const PROMPT_START_DIVISOR: Nanos = 5;
/// The part of the jobs that must start at once before a waiting job is moved.
const MIN_PROMPT_SHARE: f64 = 0.25;
/// A waiting job is moved after its product's latency target divided by this.
const START_TIMEOUT_DIVISOR: Nanos = 2;
/// Another worker for it is searched for at intervals of that time divided by this.
const SEARCH_INTERVAL_DIVISOR: Nanos = 4;

/// The number of nodes per slot of a worker from which idle connections burden the worker.
const CROWDED_NODES_PER_SLOT: f64 = 4.0;
/// The number of answer times for which a node may keep an idle connection to such a worker.
const CROWDED_IDLE_ANSWER_TIMES: f64 = 2.0;

/// Decides for one node; see the module's documentation.
pub struct Dispatcher {
    pub(crate) config: DispatchConfig,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Nanos,
    pub(crate) fleet: Fleet,
    pub(crate) submissions: Vec<SubmissionState>,
    tenants: Vec<TenantStats>,
    answer_times: Vec<AnswerTime>,
    pub(crate) traffic: TrafficStats,
    pub(crate) next_tick: Nanos,
    /// When to request the list.
    pub(crate) subscribe_at: Nanos,
    /// Requests for the list that failed in a row.
    pub(crate) failed_list_requests: u32,
    best_payoff: f64,
    /// The points per submission that the probes for refreshing reports may cost.
    refresh_cost_limit: f64,
    pub(crate) startup_budget: StartupBudget,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Makes a dispatcher that knows no workers and no submissions yet.
    #[must_use]
    pub fn new(config: DispatchConfig) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(config.seed),
            now: 0,
            fleet: Fleet::default(),
            submissions: Vec::new(),
            tenants: vec![TenantStats::default(); config.quotas.len()],
            answer_times: config.products.iter().map(|p| AnswerTime::expected(p.latency_target)).collect(),
            traffic: TrafficStats::new(config.idle_timeout, config.products.len()),
            next_tick: 0,
            subscribe_at: Nanos::MAX,
            failed_list_requests: 0,
            best_payoff: config.products.iter().map(|p| p.payoff).fold(f64::MIN_POSITIVE, f64::max),
            refresh_cost_limit: if config.reports_start {
                REFRESH_COST_LIMIT / REFRESH_COST_DIVISOR_WITH_STARTS
            } else {
                REFRESH_COST_LIMIT
            },
            startup_budget: StartupBudget::default(),
            actions: Vec::new(),
            config,
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn decide(&mut self, now: Nanos, event: Event<'_>) -> &[Action] {
        self.actions.clear();
        if self.now == 0 {
            self.assume_quota_rate(now);
            self.startup_budget = StartupBudget::new(now, self.config.seed);
            self.fleet.probe_cursor = self.rng.usize(..);
        }
        self.now = self.now.max(now);
        if self.now >= self.next_tick {
            self.tick();
        }
        match event {
            Event::ListReceived { kind, entries } => self.list_received(kind, entries),
            Event::Submitted { submission, job } => {
                entry_at(&mut self.submissions, submission).reset(job);
                self.submitted(submission);
            }
            Event::ClientLeft { submission } => self.close(submission),
            Event::Streaming { submission, .. } => {
                self.submissions.get_mut(submission as usize).into_iter().for_each(|s| s.streaming = true);
            }
            Event::Progressed { submission, execution } => {
                let state = self.submissions.get(submission as usize);
                let worker = state.and_then(|s| s.tried.get(usize::from(execution))).copied();
                if let Some(JobStart { waited, connection_idle_time }) =
                    worker.and_then(|w| self.fleet[w].record_progress(submission, execution, self.now))
                {
                    let at_once = waited <= self.config.connect_timeout / PROMPT_START_DIVISOR;
                    self.traffic.record_start(at_once, connection_idle_time);
                }
            }
            Event::Ended(ending) => {
                self.execution_ended(&ending);
                self.traffic.record_report_age(
                    self.fleet.apply_report(ending.worker, ending.report, self.now),
                    self.now,
                );
                self.close_rarely_used_connections(ending.worker);
                self.retry_or_finish(ending.submission);
                self.forget(ending.submission);
            }
            Event::Probed { worker, outcome, report } => {
                if let Some(state) = self.fleet.get_mut(worker) {
                    state.probe_sent_at = None;
                    match outcome {
                        ProbeOutcome::Answered => self.probe_answered(worker),
                        ProbeOutcome::Failed => {
                            (state.probes_to_return, state.process_lost) =
                                (state.probes_to_return.max(1), state.loss_suspected);
                            state.unanswered_probes += 1;
                        }
                        ProbeOutcome::Inconclusive => {}
                    }
                    self.traffic
                        .record_report_age(self.fleet.apply_report(worker, report, self.now), self.now);
                    self.fleet.record_probe_report(report, self.now);
                    self.close_rarely_used_connections(worker);
                }
            }
            // If the worker were used again at once, it would get as many jobs as a warm worker before the
            // list shows its start.
            Event::ProcessLost { worker } => self.fleet.get_mut(worker).into_iter().for_each(|state| {
                (state.probes_to_return, state.loss_suspected, state.process_lost) =
                    (state.probes_to_return.max(1), true, true);
            }),
            Event::Retired { worker } => self.fleet.retire(worker),
            // A due tick has been handled above, and an outdated timer has no effect.
            Event::TimerFired { .. } => {}
        }
        &self.actions
    }

    /// Assumes, until arrivals have been seen, that this node gets its part of all tenants' quotas.
    pub(crate) fn assume_quota_rate(&mut self, now: Nanos) {
        let expected = self.config.quotas.iter().sum::<f64>() / f64::from(self.config.nodes);
        self.traffic.assume_rate(now, expected.max(1.0) / SECOND_NS);
    }

    /// Closes idle connections that are unlikely to be used before they close by themselves. With many nodes
    /// they would fill a worker's connection table, and each costs the worker. So with many nodes per slot, a
    /// connection is kept only if it is likely to be used within [`CROWDED_IDLE_ANSWER_TIMES`].
    fn close_rarely_used_connections(&mut self, worker: Worker) {
        let Some(state) = self.fleet.workers.get(worker as usize).filter(|s| s.in_flight.is_empty()) else {
            return;
        };
        let crowded = f64::from(self.config.nodes) > CROWDED_NODES_PER_SLOT * self.fleet.mean_slots(state);
        let lifetime = if crowded {
            CROWDED_IDLE_ANSWER_TIMES * slowest_answer_time(&self.answer_times)
        } else {
            self.config.idle_timeout as f64
        };
        let rarely_used = self.traffic.arrivals.read(self.now) * lifetime < self.fleet.ready.len() as f64;
        // If new connections have a cost, idle ones are kept and used first.
        if rarely_used && self.config.connection_cost <= 0.0 {
            self.actions.push(Action::CloseIdleConnections { worker });
        }
    }

    fn list_received(&mut self, kind: ListKind, entries: &[WorkerEntry]) {
        if let (Some(limit), ListKind::Failed | ListKind::Cached) = (self.config.list_refresh_limit, kind) {
            // The list is requested in time, because a node must comply with a drain even if it made no request
            // that could have shown it. But requests that all nodes make together, or repeat at once after a
            // failure, overload discovery: they fail, and all nodes get the changes late.
            self.failed_list_requests =
                if kind == ListKind::Failed { (self.failed_list_requests + 1).min(MAX_DOUBLINGS) } else { 0 };
            let per_node = (self.config.connect_timeout / LIST_SPREAD_DIVISOR) << self.failed_list_requests;
            let spread = per_node.saturating_mul(self.config.nodes.into());
            let wait = if kind == ListKind::Failed { limit / FAILED_LIST_DELAY_DIVISOR } else { 0 };
            self.subscribe_at =
                self.now + wait + self.rng.u64(..spread.clamp(1, limit / MAX_LIST_SPREAD_DIVISOR + 1));
            self.schedule_tick(self.subscribe_at);
        } else {
            self.failed_list_requests = 0;
        }
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            self.fleet.mark_all_gone();
        }
        let threshold = self.fleet.mean_threshold().unwrap_or(DEFAULT_THRESHOLD_SLOTS);
        for &entry in entries {
            self.fleet.add_kind(entry.kind, threshold);
            if self.fleet.apply_entry(entry, self.config.weights_are_sizes) {
                self.fleet[entry.worker].reset_after_restart();
            }
        }
        self.fleet.summarize(self.now, self.config.slow_start_duration);
    }

    fn submitted(&mut self, submission: Submission) {
        let state = &self.submissions[submission as usize];
        let job = state.job;
        self.traffic.record_submission(self.now, job);
        if usize::from(job.product) >= self.config.products.len() {
            return self.finish(submission, false);
        }
        let excess = self.excess_over_share(usize::from(job.tenant));
        let choice = self.choose(submission);
        let payoff_gap = 1.0 - self.config.products[usize::from(job.product)].payoff / self.best_payoff;
        let reserved = (excess / EXCESS_RESERVE_DIVISOR).max(RESERVED_SHARE * payoff_gap);
        let (ready, allowed) = (self.fleet.ready.len().max(1) as f64, choice.allowed_workers as f64);
        let limit = (self.traffic.load_limit * self.fleet.capacity() / ready).max(1.0) * allowed;
        let full = choice.workers_below_threshold == 0 && choice.mean_own_slots * allowed + job.slots > limit;
        // While hardly any job starts at once, all answers would be late, so a random part is dismissed.
        let min_room_share =
            if self.config.reports_start { OVERLOAD_ROOM_SHARE * self.rng.f64() } else { 0.0 };
        if choice.room_share < reserved.max(min_room_share) || full {
            return self.finish(submission, excess > 0.0);
        }
        self.execute(submission, &choice);
    }

    /// Returns how far a tenant exceeds its share at this node, as a part of the share, at most 1. This
    /// node's part of all traffic is unknown and estimated from the median tenant, so that a tenant that
    /// sends far too much does not raise its own share.
    fn excess_over_share(&mut self, tenant: usize) -> f64 {
        if tenant >= self.tenants.len() || self.config.excess_payoff >= 1.0 {
            return 0.0;
        }
        let now = self.now;
        let time_constant =
            f64::max(MIN_SHARE_TIME_CONSTANT_NS, SHARE_SAMPLE_SUBMISSIONS / self.traffic.arrivals.read(now));
        self.tenants[tenant].sent.add(now, time_constant, 1.0);
        let (quotas, tenants) = (&self.config.quotas, &self.tenants);
        let submissions_per_quota = weighted_median(quotas, |t| {
            tenants[t].sent.read(now, time_constant) / quotas[t].max(f64::MIN_POSITIVE)
        });
        let submissions_per_quota =
            submissions_per_quota.max(time_constant / SECOND_NS / f64::from(self.config.nodes));
        let (share, sent) =
            (submissions_per_quota * quotas[tenant], self.tenants[tenant].sent.read(now, time_constant));
        // If a node gets few submissions of a tenant, they exceed its share now and then by chance alone.
        if self.tenants[tenant].within_share.read(now, time_constant) < share || sent < share + share.sqrt() {
            self.tenants[tenant].within_share.add(now, time_constant, 1.0);
            return 0.0;
        }
        (sent / share - 1.0).clamp(0.0, 1.0)
    }

    /// Chooses a random worker below threshold, else a random ready one.
    fn choose(&mut self, submission: Submission) -> Choice {
        let (state, fleet) = (&self.submissions[submission as usize], &self.fleet);
        let product = &self.config.products[usize::from(state.job.product)];
        let allowed = fleet.count_ready_for(product);
        let own_slots =
            if product.is_restricted() { fleet.own_slots(product) } else { self.traffic.slots_in_flight };
        let mean_own_slots = own_slots / allowed.max(1) as f64;
        // If some workers are unknown, an old report shows a worker as neither free nor full.
        let some_unknown = fleet.tracked.len() < fleet.ready.len();
        let max_fresh_age = FRESH_REPORT_ANSWER_TIMES * slowest_answer_time(&self.answer_times)
            + self.traffic.report_delay(self.now) as f64;
        let stale = |w: &WorkerState| w.reported_at.is_none_or(|r| (self.now - r) as f64 > max_fresh_age);
        let connected = |w: &WorkerState| {
            self.config.connection_cost > 0.0 && w.has_idle_connection(self.now, self.traffic.idle_lifetime)
        };
        let same_zone =
            |w: &WorkerState| self.config.zone_crossing_cost <= 0.0 || w.entry.zone == self.config.zone;
        let products = self.answer_times.iter().zip(&self.config.products);
        // A submission's own running time is not a part of its wait.
        let max_waits = products.map(|(answer, p)| {
            p.latency_target as f64 + (p.latency_target_factor - 1.0).max(0.0) * answer.shortest
        });
        let max_wait = max_waits.fold(f64::INFINITY, f64::min) / mean_answer_time(&self.answer_times);
        let [mut below, mut joinable, mut ejected]: [RankedDraw; 3] = Default::default();
        let (mut available, mut with_room, mut unknown, mut rng) = (0, 0, allowed, self.rng.clone());
        for &worker in &fleet.tracked {
            let candidate = &fleet[worker];
            if !product.allows(&candidate.entry) {
                continue;
            }
            unknown -= usize::from(candidate.entry.health == Health::Ready);
            if state.tried.contains(&worker) || !self.may_execute(state, worker) {
                continue;
            }
            let (is_available, warm) =
                (self.is_available(candidate), self.slow_start_probability(candidate).is_none());
            available += usize::from(is_available);
            // Trying an idle connection costs nothing, and a job that does not start there is moved.
            let free_try = connected(candidate) && candidate.in_flight.is_empty();
            let is_below = is_available
                && (free_try && stale(candidate) || self.below_threshold(candidate, state, mean_own_slots));
            // A worker that lost its process is cold when it is back, even if the list does not show it yet.
            ejected.offer_if(warm && !is_available && !candidate.process_lost, worker, 0, &mut rng);
            // Crossing to another zone costs less than an answer that is certain to be late.
            let ratio = candidate.answer_time_ratio(self.now, self.config.slow_start_duration);
            let very_slow = u8::from(ratio > VERY_SLOW_RATIO);
            joinable.offer_if(
                is_available && warm && self.answers_in_time(candidate, max_wait),
                worker,
                very_slow,
                &mut rng,
            );
            if is_below && warm {
                with_room += 1;
                let (crosses, slow) = (u8::from(!same_zone(candidate)), u8::from(ratio > SLOW_RATIO));
                let new_connection = u8::from(self.config.connection_cost > 0.0 && !connected(candidate));
                // Each criterion outweighs those after it.
                let rank = 8 * very_slow + 4 * crosses + 2 * new_connection + slow;
                below.offer_if(!some_unknown || !stale(candidate) || free_try, worker, rank, &mut rng);
            }
        }
        // If most workers are ejected, the few that are left must not collapse under the whole load.
        let not_ejected = available + unknown;
        if not_ejected < ejected.offered && rng.usize(..not_ejected + ejected.offered) >= not_ejected {
            joinable.pick = ejected.pick;
        }
        // Unknown workers are drawn from all ready ones. If a retry may go to only a few workers, draws among
        // all would hardly find one of them.
        let restricted = state.first_possible_run.is_some() && product.repeat_policy.limits_retries();
        let permitted =
            || fleet.ready.iter().copied().filter(|w| self.may_execute(state, *w)).collect::<Vec<_>>();
        let ready = &*if restricted { Cow::Owned(permitted()) } else { Cow::Borrowed(&fleet.ready) };
        let unknown = unknown.min(ready.len());
        let mut unknown_pick = None;
        for _ in 0..if below.pick.is_some() || unknown == 0 { 0 } else { UNKNOWN_WORKER_DRAWS } {
            let worker = ready[rng.usize(..ready.len())];
            let (candidate, tried) = (&fleet[worker], state.tried.contains(&worker));
            let is_unknown = candidate.in_flight.is_empty()
                && stale(candidate)
                && self.is_available(candidate)
                && self.slow_start_probability(candidate).is_none();
            // The expected room of an unknown worker grows with its size, so its size is its probability.
            if is_unknown
                && !tried
                && self.may_execute(state, worker)
                && rng.f64() < fleet.relative_size(candidate)
            {
                unknown_pick = Some(worker);
                if same_zone(candidate) {
                    break;
                }
            }
        }
        let mut pick = below.pick.or(unknown_pick).or(joinable.pick);
        // A cold worker is drawn with its own probability and for first executions only. When all other
        // workers are full, a worker is chosen for each submission again and again, and the cold worker would
        // get all these retries.
        let mut draw = rng.f64();
        for &worker in fleet.cold.iter().filter(|_| state.executions == 0) {
            let candidate = &fleet[worker];
            let Some(probability) = self.slow_start_probability(candidate) else { continue };
            let has_room = if stale(candidate) {
                candidate.in_flight.is_empty()
            } else {
                self.below_threshold(candidate, state, mean_own_slots)
            };
            let eligible = self.is_available(candidate) && (same_zone(candidate) || below.pick.is_none());
            let warm_candidates = (below.offered + unknown).max(1) as f64;
            let share = probability.min(fleet.relative_size(candidate) / fleet.mean_size / warm_candidates);
            let permitted = eligible
                && self.may_execute(state, worker)
                && self.is_within_startup_budget(candidate, self.slow_start_jobs(candidate));
            draw -= if has_room && permitted { share } else { 0.0 };
            if draw < 0.0 {
                pick = Some(worker);
                break;
            }
        }
        // The workers known now are mostly those that hold jobs of this node or refused some, so they do not
        // stand for the unknown ones, whose part with room is estimated separately.
        let unknown = unknown as f64;
        let unknown_room_share = if self.config.reports_start {
            UNKNOWN_ROOM_PROBABILITY * self.traffic.prompt_share
        } else {
            fleet.share_with_room(self.now)
        };
        let room_share =
            (with_room as f64 + unknown * unknown_room_share) / (available as f64 + unknown).max(1.0);
        let workers_below_threshold = below.offered + usize::from(pick.is_some() && pick != joinable.pick);
        self.rng = rng;
        Choice { room_share, workers_below_threshold, pick, allowed_workers: allowed, mean_own_slots }
    }

    /// Returns whether a worker is below threshold: by what is known of it, it would start this submission at
    /// once.
    fn below_threshold(
        &self,
        worker: &WorkerState,
        submission: &SubmissionState,
        mean_own_slots: f64,
    ) -> bool {
        let (job, own) = (&submission.job, worker.own_slots);
        let threshold = self.fleet.kind(worker).map_or(0.0, |k| k.threshold);
        let has_unstarted = self.config.reports_start && worker.in_flight.iter().any(|e| e.unstarted);
        if own + job.slots > threshold || own > mean_own_slots + job.slots || has_unstarted {
            return false;
        }
        // Reports older than the jobs that they count do not show the current load, so this node's own slots
        // are compared.
        if self.traffic.report_delay(self.now) as f64 > slowest_answer_time(&self.answer_times) {
            return own <= mean_own_slots;
        }
        // Before a worker's first report, a single job tests it. If answers arrive and no worker has ever
        // reported, no report will come, and the threshold alone decides.
        if worker.reported_at.is_none() {
            return worker.in_flight.is_empty()
                || (!self.fleet.any_reported && self.answer_times.iter().any(|a| a.samples > 0.0));
        }
        // A delayed report misses the jobs sent before it arrived, and slots held by this node are never
        // free.
        let (free, queued) =
            (worker.report.free_slots.map(rounded), worker.report.queued_jobs.map_or(0.0, rounded));
        let since = worker.sent_since_report(self.traffic.report_delay(self.now), |e| e.slots);
        if free.is_some_and(|f| (f - queued - since).min(worker.known_slots - own) < job.slots) {
            return false;
        }
        // A job that needs more memory than a worker seems to have can only run alone.
        let left = worker.memory_left(self.traffic.report_delay(self.now), self.traffic.memory_per_slot);
        !self.config.counts_memory || left >= job.memory || free.is_some_and(|f| f >= worker.known_slots)
    }

    /// Returns whether a job sent to this worker would wait for at most `max_wait`, the least latency target
    /// of all products in multiples of the mean answer time. Without this check queues would fill until every
    /// answer is late, or the product with the longest target would fill them until the others get nothing.
    fn answers_in_time(&self, worker: &WorkerState, max_wait: f64) -> bool {
        let since = worker.sent_since_report(self.traffic.report_delay(self.now), |e| e.slots);
        let (free, queued) = (worker.report.free_slots, worker.report.queued_jobs);
        let ahead = queued.map_or(0.0, rounded) + since - free.map_or(0.0, rounded);
        ahead / worker.known_slots.max(1.0) <= max_wait
    }

    /// Returns whether a worker gets work: it is ready, not ejected, and no answer to a probe is overdue.
    fn is_available(&self, worker: &WorkerState) -> bool {
        let probe_overdue = worker
            .probe_sent_at
            .is_some_and(|p| self.now - p > self.config.connect_timeout / PROBE_OVERDUE_DIVISOR);
        worker.entry.health == Health::Ready && worker.probes_to_return == 0 && !probe_overdue
    }

    /// Returns whether the submission may be executed on this worker under the rules for repeats, deadlines
    /// and restrictions. `execute`, the only place that starts executions, checks this again.
    fn may_execute(&self, submission: &SubmissionState, worker: Worker) -> bool {
        let state = &self.fleet[worker];
        let product = &self.config.products[usize::from(submission.job.product)];
        let over =
            !submission.open || submission.streaming || submission.executions >= self.config.max_executions;
        let late = self.now + self.config.deadline_margin >= submission.job.deadline;
        let forbidden = !product.allows(&state.entry);
        if over || late || forbidden || state.entry.health != Health::Ready {
            return false;
        }
        match (submission.first_possible_run, product.repeat_policy) {
            (None, _) | (_, RepeatPolicy::Idempotent) => true,
            (Some(_), RepeatPolicy::OneShot) => false,
            (Some(first), RepeatPolicy::Stamped { scope, dedup_window }) => {
                // The repeat must arrive, connecting included, while the workers still remember the first.
                let covered = scope.covers(&self.fleet[first.worker].entry, &state.entry);
                covered && self.now + self.config.connect_timeout < first.sent_at + dedup_window
            }
        }
    }

    /// Returns the probability with which this node may send a submission to a cold worker, or `None` if the
    /// worker is warm. All nodes learn of the worker's start at once, so each sends its part at random, and
    /// the expected sum of all nodes stays far below what the worker can handle in a window.
    fn slow_start_probability(&self, worker: &WorkerState) -> Option<f64> {
        if !self.is_cold(worker) {
            return None;
        }
        let window = self.config.overload_window as f64;
        let max_jobs = self.slow_start_jobs(worker);
        // The standard deviation of the number of jobs sent at random is the square root of its mean. This is
        // the mean that, with `SLOW_START_DEVIATIONS` of them added, reaches the maximum.
        let half = SLOW_START_DEVIATIONS / 2.0;
        let mean = ((max_jobs + half * half).sqrt() - half).powi(2);
        Some(mean / f64::from(self.config.nodes) / (self.traffic.burst_rate(self.now) * window))
    }

    /// Returns whether a worker has started so recently that it can't handle its usual load yet.
    fn is_cold(&self, worker: &WorkerState) -> bool {
        let age = self.now.saturating_sub(worker.entry.started);
        worker.entry.started != 0 && age < self.config.slow_start_duration
    }

    /// Returns how many jobs of all nodes together a cold worker can handle in an overload window.
    fn slow_start_jobs(&self, worker: &WorkerState) -> f64 {
        let age = self.now.saturating_sub(worker.entry.started);
        let warmth = age as f64 / self.config.slow_start_duration as f64;
        let capacity_share =
            self.config.cold_capacity_share + (1.0 - self.config.cold_capacity_share) * warmth;
        let window = self.config.overload_window as f64;
        let max_work = self.config.overload_factor * capacity_share * self.fleet.mean_slots(worker) * window;
        max_work / self.traffic.mean_work(&self.answer_times)
    }

    /// Sends the submission to the chosen worker; without one, and with no execution in flight, gives the
    /// final answer. This is the only place that starts an execution.
    fn execute(&mut self, submission: Submission, choice: &Choice) {
        let state = &self.submissions[submission as usize];
        let forbidden_copy = state.in_flight > 0 && !self.config.may_duplicate;
        let Some(worker) = choice.pick.filter(|w| !forbidden_copy && self.may_execute(state, *w)) else {
            return self.finish(submission, false);
        };
        let is_cold = self.is_cold(&self.fleet[worker]);
        let (now, state) = (self.now, &mut self.submissions[submission as usize]);
        let expected_duration = self.answer_times[usize::from(state.job.product)].mean;
        self.traffic.slots_in_flight += state.job.slots;
        let mut execution =
            state.begin_execution(submission, worker, now, self.config.reports_start, expected_duration);
        let worker_state = self.fleet.track(worker);
        worker_state.jobs_sent_cold += u32::from(is_cold);
        // The other end may have silently dropped a connection that was idle for too long, and a job sent on
        // it would be lost.
        match worker_state.idle_since.take().map(|since| now - since) {
            Some(idle_time) if (idle_time as f64) < self.traffic.idle_lifetime => {
                execution.connection_idle_time = idle_time
            }
            Some(_) => self.actions.push(Action::CloseIdleConnections { worker }),
            None => {}
        }
        worker_state.add_execution(execution);
        // If the execution times out, half of the margin is left to answer the client.
        let timeout = state.job.deadline - now - self.config.deadline_margin / 2;
        self.actions.push(Action::Execute { submission, worker, timeout });
        self.schedule_tick(now + self.tick_period());
    }

    /// Gives the final answer: a dismissal if a retry is harmless, else an abort. This is the only place that
    /// gives one.
    fn finish(&mut self, submission: Submission, over_share: bool) {
        let state = &self.submissions[submission as usize];
        if !state.open || state.in_flight > 0 {
            return;
        }
        let policy = self.config.products.get(usize::from(state.job.product)).map(|p| p.repeat_policy);
        let harmless = matches!(
            policy,
            Some(RepeatPolicy::Idempotent | RepeatPolicy::Stamped { scope: DedupScope::All, .. })
        );
        if harmless || state.first_possible_run.is_none() {
            let retry_after =
                self.config.retry_after.map(|max| if over_share { max } else { max / RETRY_AFTER_DIVISOR });
            self.actions.push(Action::Dismiss { submission, retry_after });
        } else {
            self.actions.push(Action::Abort { submission });
        }
        self.close(submission);
    }

    /// Closes a submission that needs no further answer and cancels its executions in flight.
    fn close(&mut self, submission: Submission) {
        let Some(state) = self.submissions.get_mut(submission as usize).filter(|s| s.open) else { return };
        state.open = false;
        if self.config.may_cancel && state.in_flight > 0 {
            let in_flight = self.fleet.in_flight(submission, &state.tried);
            self.actions.extend(in_flight.map(|execution| Action::Cancel { submission, execution }));
        }
        self.forget(submission);
    }

    fn forget(&mut self, submission: Submission) {
        let state = self.submissions.get_mut(submission as usize).filter(|s| !s.open && s.in_flight == 0);
        if state.is_some_and(|s| std::mem::take(&mut s.known)) {
            self.actions.push(Action::Forget { submission });
        }
    }

    fn execution_ended(&mut self, ending: &Ending) {
        let (now, outcome) = (self.now, ending.outcome);
        let Some(worker) = self.fleet.workers.get_mut(ending.worker as usize) else { return };
        let Some(state) = self.submissions.get_mut(ending.submission as usize) else { return };
        let Some(execution) = worker.remove_execution(ending.submission, ending.execution) else { return };
        state.execution_ended(!outcome.never_ran());
        self.traffic.slots_in_flight = (self.traffic.slots_in_flight - execution.slots).max(0.0);
        let (product, took) = (usize::from(state.job.product), ending.took as f64);
        let idempotent = self.config.products[product].repeat_policy == RepeatPolicy::Idempotent;
        let kind = self.fleet.kinds.get_mut(usize::from(worker.entry.kind));
        let Some(Some(kind)) = kind else { return };
        match outcome {
            Outcome::Completed => {
                (worker.last_progress, worker.completed_jobs, worker.idle_since) =
                    (now, worker.completed_jobs + 1, Some(now));
                worker.record_answer_time_ratio(
                    now,
                    self.config.slow_start_duration,
                    took / self.answer_times[product].mean,
                );
                worker.recent_ejections -= u32::from(
                    worker.recent_ejections > 0 && worker.completed_jobs % COMPLETIONS_PER_EJECTION == 0,
                );
                kind.completed_jobs += 1;
                if kind.completed_jobs >= COMPLETIONS_PER_SLOT {
                    // The threshold never exceeds its initial value, which follows the slots of the kind's
                    // workers: a lower cap would leave large workers idle.
                    (kind.completed_jobs, kind.threshold) =
                        (0, (kind.threshold + 1.0).min(kind.initial_threshold()));
                }
            }
            Outcome::Overloaded => {
                worker.last_progress = now;
                if worker.entry.health == Health::Ready {
                    (kind.completed_jobs, kind.threshold) =
                        (0, (kind.threshold - execution.slots).max(MIN_THRESHOLD_SLOTS));
                }
            }
            // A failing worker looks empty and would attract all jobs, so it is ejected. But if a retry makes
            // up for the error, the ejection is short: the worker still completes some jobs.
            Outcome::Error if idempotent => worker.probes_to_return = worker.probes_to_return.max(1),
            Outcome::Error => eject(worker, false),
            Outcome::InvalidSubmission => state.executions = self.config.max_executions,
            // The connection was silently dropped while it was idle, which says nothing about the worker.
            Outcome::Reset
                if execution.connection_idle_time > 0
                    && execution.unstarted
                    && ending.took < self.config.connect_timeout / PROMPT_START_DIVISOR =>
            {
                self.traffic.record_start(false, execution.connection_idle_time);
            }
            Outcome::Reset | Outcome::ConnectFailed => eject(worker, true),
            Outcome::TimedOut if worker.last_progress <= execution.sent_at => eject(worker, false),
            Outcome::TimedOut | Outcome::StaleConnection | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if ending.closed {
            self.close(ending.submission);
        }
        if outcome == Outcome::Completed {
            self.answer_times[product].add(took);
            self.traffic.answer_time_ratio += (took / self.answer_times[product].shortest
                - self.traffic.answer_time_ratio)
                / ANSWER_TIME_RATIO_ANSWERS;
            let capacity = self.fleet.capacity();
            let limit = self.traffic.load_limit.min(1.0) * capacity;
            let factor = (MAX_ANSWER_TIME_RATIO / self.traffic.answer_time_ratio).clamp(MIN_LOAD_FACTOR, 1.0);
            let wanted = limit * factor + limit.sqrt();
            self.traffic.load_limit = (limit + (wanted - limit) / LOAD_LIMIT_ANSWERS) / capacity.max(1.0);
        }
    }

    /// Starts a further execution if one is possible, else gives the final answer.
    fn retry_or_finish(&mut self, submission: Submission) {
        if !self.submissions.get(submission as usize).is_some_and(|s| s.open && s.in_flight == 0) {
            return;
        }
        let choice = self.choose(submission);
        self.execute(submission, &choice);
    }

    fn schedule_tick(&mut self, at: Nanos) {
        if at < self.next_tick {
            self.next_tick = at;
            self.actions.push(Action::SetTimer { at, timer_id: 0 });
        }
    }

    /// Returns the interval of the periodic work while something is awaited.
    fn tick_period(&self) -> Nanos {
        self.config.connect_timeout / TICK_DIVISOR
    }

    /// Does the periodic work: requests the list, ejects silent workers, sends probes, and moves overdue
    /// jobs.
    fn tick(&mut self) {
        self.next_tick = Nanos::MAX;
        if self.now >= self.subscribe_at {
            self.subscribe_at = Nanos::MAX;
            self.actions.push(Action::Subscribe);
        }
        let (now, period, answer_time) =
            (self.now, self.tick_period(), slowest_answer_time(&self.answer_times));
        let max_silence = MAX_SILENCE_FACTOR
            * (self.config.progress_interval.unwrap_or(0) as f64 + answer_time)
            + period as f64;
        let report_lifetime =
            REPORT_LIFETIME_ANSWER_TIMES * answer_time + self.traffic.report_delay(self.now) as f64;
        // If probes are expensive, busy workers are probed less often: the probes for one job must not cost
        // more than refreshing reports may.
        let affordable_interval = answer_time * self.config.probe_cost / self.refresh_cost_limit;
        let max_unprobed =
            (MAX_UNPROBED_CONNECT_TIMEOUTS * self.config.connect_timeout).max(affordable_interval as Nanos);
        let probe_debt = -self.traffic.probe_budget.probes;
        let (mut reported_workers, mut full_workers, mut next) =
            (0.0, ASSUMED_FULL_WORKERS, self.subscribe_at);
        for i in (0..self.fleet.tracked.len()).rev() {
            let worker = self.fleet.tracked[i];
            let state = &mut self.fleet[worker];
            let busy = !state.in_flight.is_empty();
            if busy && (now - state.last_progress) as f64 > max_silence {
                state.last_progress = now;
                eject(state, false);
            }
            // Only a probe finds a hung worker, so one that holds jobs of this node must not go long without.
            let unprobed_too_long = busy
                && state.probes_to_return == 0
                && state.reported_at.is_none_or(|r| now - r > max_unprobed);
            if state.entry.health == Health::Gone {
                state.probes_to_return = 0;
            } else if !self.config.may_probe {
                self.probe_answered(worker);
            } else if state.probe_sent_at.is_none()
                && (unprobed_too_long || (state.is_due_for_probe(now) && probe_debt < MAX_PROBE_DEBT_PROBES))
            {
                // All nodes probe a worker that is down, so the interval is random and doubles each time.
                let wait = period << state.unanswered_probes.min(MAX_DOUBLINGS);
                (state.probe_sent_at, state.next_probe_at) =
                    (Some(now), now + wait / 2 + self.rng.u64(..=wait));
                // Probes of busy workers are not charged to the budget: `max_unprobed` limits them.
                self.traffic.probe_budget.probes -= f64::from(u8::from(!unprobed_too_long));
                self.actions.push(Action::Probe { worker });
            }
            for j in 0..self.fleet[worker].in_flight.len() {
                self.move_overdue_job(worker, j);
            }
            let state = &mut self.fleet[worker];
            let reported = state.reported_at.is_some_and(|r| ((now - r) as f64) < report_lifetime);
            let is_counted = f64::from(u8::from(reported && state.entry.health == Health::Ready));
            reported_workers += is_counted;
            full_workers += is_counted * f64::from(state.report.free_slots.is_none_or(|f| f < 1.0));
            if !state.in_flight.is_empty() || state.probes_to_return > 0 || state.probe_sent_at.is_some() {
                next = next.min(now + period);
            } else if !(reported
                || self.config.connection_cost > 0.0
                    && state.has_idle_connection(now, self.traffic.idle_lifetime))
            {
                state.tracked = false;
                self.fleet.tracked.swap_remove(i);
            }
        }
        let wait = if self.config.may_probe {
            self.refresh_reports(full_workers / f64::max(reported_workers, 1.0))
        } else {
            f64::MAX
        };
        self.schedule_tick(next.min(now + wait.min(MAX_TICK_INTERVAL_NS) as Nanos).max(now + period));
    }

    /// Probes workers in turn, at a rate proportional to the share of workers that look full. Returns the
    /// time until the next probe is due.
    fn refresh_reports(&mut self, full_share: f64) -> f64 {
        let (now, ready) = (self.now, self.fleet.ready.len());
        let probes_per_submission = self.refresh_cost_limit
            / self.config.probe_cost.max(self.refresh_cost_limit / MAX_REFRESH_PROBES_PER_SUBMISSION);
        let rate = self.traffic.arrivals.read(now) * probes_per_submission * full_share;
        let max_age = (ready as f64 / rate).max(self.traffic.report_delay(self.now) as f64);
        let burst_span = REFRESH_BURST_TICKS * self.config.connect_timeout / TICK_DIVISOR;
        self.traffic.grow_probe_budget(now, rate, 1.0 + rate * burst_span as f64);
        while self.traffic.probe_budget.probes >= 1.0 {
            let Some(worker) = self.fleet.next_to_probe(now, max_age) else { break };
            self.traffic.probe_budget.probes -= 1.0;
            self.actions.push(Action::Probe { worker });
        }
        (1.0 - self.traffic.probe_budget.probes).max(0.0) / rate
    }

    /// Brings an ejected worker one probe closer to its return. If its process was lost, it returns cold.
    fn probe_answered(&mut self, worker: Worker) {
        let state = &mut self.fleet[worker];
        (state.probes_to_return, state.unanswered_probes) = (state.probes_to_return.saturating_sub(1), 0);
        if state.probes_to_return == 0 && state.take_process_loss(!self.config.may_probe) {
            (state.entry.started, state.reported_at) = (self.now, None);
            self.fleet.summarize(self.now, self.config.slow_start_duration);
        }
    }

    /// Copies a job that an unavailable worker holds, and cancels a job that was not started in time so that
    /// it is sent on once the cancellation is known. Both need a product that allows a repeat and another
    /// worker with room. A job that the worker has lost is cancelled in any case.
    fn move_overdue_job(&mut self, worker: Worker, index: usize) {
        let (state, now) = (&self.fleet[worker], self.now);
        let Some(job) = state.in_flight.get(index) else { return };
        let &InFlight {
            submission, execution, unstarted, sent_at, last_search, connection_idle_time, ..
        } = job;
        // If a lost job stayed in flight, it would block slots that are free, and the reports, which do not
        // count it, would seem to be as old as the job.
        if self.config.may_cancel && state.has_lost(job, self.config.progress_interval, now) {
            self.traffic.proved_report_delay = ProvedReportDelay { delay: 0, proved_at: now };
            return self.actions.push(Action::Cancel { submission, execution });
        }
        let submission_state = &self.submissions[submission as usize];
        let product = &self.config.products[usize::from(submission_state.job.product)];
        let start_timeout = product.latency_target / START_TIMEOUT_DIVISOR;
        // Some workers go on with a cancelled job, so a move may waste work. The less a product pays, the
        // more of the jobs must start at once before its jobs are moved.
        let prompt =
            self.traffic.prompt_share > MIN_PROMPT_SHARE.max(1.0 - product.payoff / self.best_payoff);
        let stuck = unstarted && now - sent_at > start_timeout && prompt && self.config.may_cancel;
        let copied = !self.is_available(state) && self.config.may_duplicate;
        if !submission_state.open
            || submission_state.in_flight != 1
            || !(stuck || copied)
            || now - last_search < start_timeout / SEARCH_INTERVAL_DIVISOR
        {
            return;
        }
        self.fleet[worker].in_flight[index].last_search = now;
        let choice = self.choose(submission);
        if choice.workers_below_threshold > 0 && stuck {
            self.traffic.record_start(false, connection_idle_time);
            self.actions.push(Action::Cancel { submission, execution });
        } else if choice.workers_below_threshold > 0 {
            self.execute(submission, &choice);
        }
    }
}

/// Ejects a worker. Each ejection doubles the answered probes that it needs to return. A broken connection
/// alone is only a suspected loss of the process until a probe fails: treated as a loss, a few breaks would
/// leave hardly any warm worker.
fn eject(worker: &mut WorkerState, loss_suspected: bool) {
    if worker.probes_to_return == 0 {
        worker.recent_ejections = (worker.recent_ejections + 1).min(MAX_DOUBLINGS);
    }
    (worker.probes_to_return, worker.completed_jobs) = (1 << worker.recent_ejections, 0);
    worker.loss_suspected |= loss_suspected;
}
