//! Load on real nodes on loopback: the demo, and functions that are shared by the commands that send load.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use linestack_rig::load::{self, LoadPlan, LoadResult};
use linestack_rig::node_process::NodeProcess;
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Executors, Fault, FaultSpec, Product, RepeatPolicy, Scenario};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// The longest span and ramp of a load.
const MAX_LOAD_S: f64 = 3600.0;

/// The column heads above the rows of [`load_row`].
pub const LOAD_TABLE_HEAD: &str =
    "                  answers a second  dismissed  failed  broken  p50 ms   p99 ms   longest ms";

/// Returns the result of a load as a row of a table.
#[must_use]
pub fn load_row(name: &str, l: &LoadResult) -> String {
    let ms = |us: u64| us as f64 / 1e3;
    let (p50, p99) = (ms(l.latencies.value_at_quantile(0.5)), ms(l.latencies.value_at_quantile(0.99)));
    format!(
        "{name:<16}  {:<16.1}  {:<9}  {:<6}  {:<6}  {p50:<7.1}  {p99:<7.1}  {:.1}",
        l.rate(),
        l.dismissed,
        l.failed,
        l.broken,
        ms(l.latencies.max())
    )
}

/// Returns a load plan from arguments of the command line, with times in seconds.
///
/// # Errors
///
/// A time is out of range, or the rate is not above 0.
pub fn load_plan(clients: usize, rate: Option<f64>, span: f64, ramp: f64) -> Fallible<LoadPlan> {
    let in_range = |seconds: f64| seconds.is_finite() && (0.0..=MAX_LOAD_S).contains(&seconds);
    if !in_range(span) || span == 0.0 || !in_range(ramp) || rate.is_some_and(|r| !(r.is_finite() && r > 0.0))
    {
        let rate = rate.map_or_else(String::new, |r| format!(", rate {r} requests per second"));
        return Err(format!(
            "expected a span above 0 s and at most {MAX_LOAD_S} s, a ramp from 0 to {MAX_LOAD_S} s and a rate above 0; \
             found span {span} s, ramp {ramp} s{rate}"
        )
        .into());
    }
    Ok(LoadPlan {
        clients,
        rate,
        duration: Duration::from_secs_f64(span),
        ramp: Duration::from_secs_f64(ramp),
    })
}

/// Returns a seed from the current time, so that requests do not repeat the names of an earlier run.
#[must_use]
pub fn seed_from_clock() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |s| s.as_nanos() as u64)
}

/// Returns a scenario of executors with many slots, each with one core per slot, and of one idempotent product.
#[must_use]
pub fn large_executors(workers: u32, slots: u32, work_ms: f64) -> Scenario {
    let cores = f64::from(slots);
    let executors = Executors { count: workers, slots, cores, speed_spread: 0.0, ..Executors::default() };
    let product = Product { work_ms, cv: 0.0, latency_target_ms: 400.0, ..Product::default() };
    let nodes = linestack_world::Nodes { count: 1, sockets: 2048, ..Default::default() };
    Scenario { executors: vec![executors], products: vec![product], nodes, ..Scenario::default() }
}

/// Sends load to two real nodes with five executors for eight seconds; one executor hangs for two of them.
///
/// # Errors
///
/// The program is not built or cannot be started, or the load cannot be sent.
pub fn run_demo() -> Fallible<ExitCode> {
    let product =
        |name: &str, repeats| Product { name: name.into(), repeats, work_ms: 60.0, ..Product::default() };
    let s = Scenario {
        nodes: linestack_world::Nodes { count: 2, ..Default::default() },
        executors: vec![Executors { count: 5, slots: 4, ..Executors::default() }],
        products: vec![product("look", RepeatPolicy::Idempotent), product("pay", RepeatPolicy::OneShot)],
        faults: vec![FaultSpec {
            kind: Fault::Hang,
            at_s: 3.0,
            for_s: 2.0,
            part: 0.2,
            ..FaultSpec::default()
        }],
        ..Scenario::default()
    };
    let program = NodeProcess::program_path()?;
    let fleet = Arc::new(StandInFleet::start(&s)?);
    let nodes = [1, 2].map(|i| NodeProcess::start(&program, &fleet.configuration(&format!("n{i}"), i)));
    let nodes = nodes.into_iter().collect::<Result<Vec<_>, _>>()?;
    let to: Vec<_> = nodes.iter().map(|n| n.address).collect();
    println!(
        "two nodes, five executors with four slots each; 150 requests per second; one executor hangs from 3 s to 5 s"
    );
    println!("{LOAD_TABLE_HEAD}");
    fleet.run_faults();
    // The load fails if no request was satisfied before, during or after the fault.
    let mut failed = false;
    for (name, span) in [("before (3 s)", 3.0), ("hanging (2 s)", 2.0), ("after (3 s)", 3.0)] {
        let loaded = load::load(&s, &to, &load_plan(40, Some(150.0), span, 0.0)?, seed_from_clock())?;
        println!("{}", load_row(name, &loaded));
        failed |= loaded.satisfied == 0;
    }
    Ok(ExitCode::from(u8::from(failed)))
}
