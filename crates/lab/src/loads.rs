//! Real nodes loaded on loopback: the demonstration, and what the commands that load have in common.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use linestack_rig::load::{self, LoadPlan, LoadResult};
use linestack_rig::node_process::NodeProcess;
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Executors, Fault, FaultSpec, Product, RepeatPolicy, Scenario};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// The head of the table whose rows [`row`] makes.
pub const HEAD: &str =
    "                  answers a second  dismissed  failed  broken  p50 ms   p99 ms   longest ms";

/// What came of a load, a line of a table.
#[must_use]
pub fn row(name: &str, l: &LoadResult) -> String {
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

/// A load as the command line gives it, with times in seconds.
///
/// # Errors
///
/// A time is out of range, or the rate is not over 0.
pub fn plan(clients: usize, rate: Option<f64>, span: f64, ramp: f64) -> Fallible<LoadPlan> {
    let fine = |f: f64| f.is_finite() && (0.0..=3600.0).contains(&f);
    if !fine(span) || span == 0.0 || !fine(ramp) || rate.is_some_and(|r| !(r.is_finite() && r > 0.0)) {
        return Err("span and ramp must be from 0 to 3600 s, the span and a rate over 0".into());
    }
    Ok(LoadPlan {
        clients,
        rate,
        duration: Duration::from_secs_f64(span),
        ramp: Duration::from_secs_f64(ramp),
    })
}

/// Names requests apart from those of an earlier run.
#[must_use]
pub fn seed_now() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |s| s.as_nanos() as u64)
}

/// Workers of many slots, each with a core for every slot, and one harmless product.
#[must_use]
pub fn large(workers: u32, slots: u32, work_ms: f64) -> Scenario {
    let cores = f64::from(slots);
    let executors = Executors { count: workers, slots, cores, speed_spread: 0.0, ..Executors::default() };
    let product = Product { work_ms, cv: 0.0, latency_target_ms: 400.0, ..Product::default() };
    let nodes = linestack_world::Nodes { count: 1, sockets: 2048, ..Default::default() };
    Scenario { executors: vec![executors], products: vec![product], nodes, ..Scenario::default() }
}

/// Two real nodes and five executors, loaded for eight seconds, in two of which one executor hangs.
///
/// # Errors
///
/// The program is not built, or can't be started.
pub fn demo() -> Fallible<ExitCode> {
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
        "two nodes, five executors of four slots; 150 requests a second; from 3 s to 5 s one executor hangs"
    );
    println!("{HEAD}");
    fleet.run_faults();
    let mut failed = false;
    for (name, span) in [("before (3 s)", 3.0), ("hanging (2 s)", 2.0), ("after (3 s)", 3.0)] {
        let loaded = load::load(&s, &to, &plan(40, Some(150.0), span, 0.0)?, seed_now())?;
        println!("{}", row(name, &loaded));
        failed |= loaded.satisfied == 0;
    }
    Ok(ExitCode::from(u8::from(failed)))
}
