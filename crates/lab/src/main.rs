//! The program `linestack-lab`: experiments with linestack on the command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use linestack_lab::fleet;
use linestack_lab::hunt::{Criterion, SearchResult, search, shrink, to_toml};
use linestack_lab::loads::{
    LOAD_TABLE_HEAD, large_executors, load_plan, load_row, run_demo, seed_from_clock,
};
use linestack_lab::policies::Policy;
use linestack_lab::report;
use linestack_lab::runs::{run_all, with_seeds};
use linestack_lab::scale;
use linestack_lab::scenario_file;
use linestack_lab::soak;
use linestack_lab::starts;
use linestack_lab::store_benchmark;
use linestack_lab::sweep::{Axis, grid};
use linestack_lab::tables::{comparison_table, exit_code, result_table, write_json_lines};
use linestack_rig::load;
use linestack_rig::node_process::NodeProcess;
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Product, Scenario};

/// The longest span of `serve`: a day.
const MAX_SERVE_S: f64 = 86_400.0;

/// Simulates whole nodes, and sends load to real nodes on loopback.
#[derive(Parser)]
#[command(version, about, propagate_version = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Show no progress bars.
    #[arg(long, short, global = true)]
    quiet: bool,
    /// Write results to standard output as JSON Lines, one per run.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate a scenario and show the results. Exits with 1 if a rule was violated.
    Run {
        /// The scenario file.
        scenario: PathBuf,
        /// The number of consecutive seeds, starting with that of the scenario.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// The policy that the nodes dispatch by.
        #[arg(long, value_enum, default_value = "linestack")]
        policy: Policy,
    },
    /// Simulate a scenario under several policies on the same seeds.
    Compare {
        /// The scenario file.
        scenario: PathBuf,
        /// The number of consecutive seeds, starting with that of the scenario.
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// The policies; the first is the reference. All policies by default.
        #[arg(long, value_enum, value_delimiter = ',')]
        policies: Vec<Policy>,
    },
    /// Simulate all combinations of values for keys of a scenario. Exits with 1 if a rule was violated.
    Sweep {
        /// The scenario file.
        scenario: PathBuf,
        /// A key and its values, such as `executors.0.slots=2,8,64`.
        #[arg(required = true)]
        axes: Vec<Axis>,
        /// The number of consecutive seeds, starting with that of the scenario.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// The policies; the first is the reference.
        #[arg(long, value_enum, value_delimiter = ',', default_value = "linestack")]
        policies: Vec<Policy>,
    },
    /// Simulate a scenario under several policies, or run a plan with real processes once, and write an HTML page with
    /// plots.
    Report {
        /// The scenario file or the plan file.
        scenario: PathBuf,
        /// The number of consecutive seeds, starting with that of the scenario.
        #[arg(long, default_value_t = 4)]
        seeds: u64,
        /// The policies to compare.
        #[arg(
            long,
            value_enum,
            value_delimiter = ',',
            default_value = "linestack,random,two-choices,true-state"
        )]
        policies: Vec<Policy>,
        /// The file for the page.
        #[arg(long, default_value = "report.html")]
        out: PathBuf,
    },
    /// Search random small scenarios for a violated rule, or for the largest losses against another policy, and shrink
    /// each finding to a smaller scenario that still shows it. Exits with 1 if a rule was violated.
    Hunt {
        /// The number of consecutive seeds.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Also search for losses against this policy.
        #[arg(long, value_enum)]
        against: Option<Policy>,
        /// The number of largest losses to report.
        #[arg(long, default_value_t = 1)]
        most: usize,
        /// The maximum number of variants to try for shrinking each finding.
        #[arg(long, default_value_t = 2000)]
        tries: usize,
        /// The folder for the scenarios that are found.
        #[arg(long, default_value = "found")]
        out: PathBuf,
    },
    /// Run stand-in executors and discovery for a scenario, on loopback and in real time, with its faults.
    Serve {
        /// The scenario file.
        scenario: PathBuf,
        /// Seconds until the command ends.
        #[arg(long, default_value_t = 3600.0)]
        span: f64,
    },
    /// Send load to nodes on loopback from a bounded number of clients, and measure latencies.
    Load {
        /// The scenario file, for its products.
        scenario: PathBuf,
        /// The addresses of the nodes or executors.
        #[arg(required = true)]
        to: Vec<std::net::SocketAddr>,
        /// The number of clients.
        #[arg(long, default_value_t = 16)]
        clients: usize,
        /// Requests per second from all clients together. Without it, each client sends its next request once the
        /// previous one is answered.
        #[arg(long)]
        rate: Option<f64>,
        /// Seconds of load after the ramp.
        #[arg(long, default_value_t = 10.0)]
        span: f64,
        /// Seconds over which the clients start one after the other. Answers within them are not counted.
        #[arg(long, default_value_t = 1.0)]
        ramp: f64,
    },
    /// Measure the throughput of workers with many slots, for closed-loop clients that send to them directly and
    /// through a node.
    Fill {
        /// The number of workers.
        #[arg(long, default_value_t = 4)]
        workers: u32,
        /// The number of slots of each worker.
        #[arg(long, default_value_t = 64)]
        slots: u32,
        /// The number of clients.
        #[arg(long, default_value_t = 200)]
        clients: usize,
        /// The time that a job occupies its slot, in milliseconds.
        #[arg(long, default_value_t = 20.0)]
        work_ms: f64,
        /// Seconds of load after the ramp.
        #[arg(long, default_value_t = 5.0)]
        span: f64,
        /// Seconds over which the clients start one after the other. Answers within them are not counted.
        #[arg(long, default_value_t = 1.0)]
        ramp: f64,
    },
    /// Start and stop the real program many times, many at once, and count the starts that were late, hung or refused.
    /// Exits with 1 unless all processes were ready in time and stopped cleanly.
    Starts {
        /// The number of starts.
        #[arg(long, default_value_t = 10_000)]
        count: u64,
        /// The number of processes that run at the same time.
        #[arg(long, default_value_t = 100)]
        at_once: usize,
        /// Seconds from the start of the process to a status of 200 from /healthz, after which a start is late.
        #[arg(long, default_value_t = 10.0)]
        ready_within: f64,
        /// Seconds after which a start or a stop counts as hung.
        #[arg(long, default_value_t = 60.0)]
        hung_after: f64,
        /// A command that runs the program, such as "taskset -c 0".
        #[arg(long, default_value = "")]
        via: String,
        /// The path of the program; by default the one in the folder of this tool.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Send load to two real nodes with a small fleet for some seconds, during a fault of an executor.
    Demo,
    /// Measure the cost of a store on this disk: commits by size, with and without sync, and the time to reopen it.
    Store {
        /// The folder for temporary stores: some gigabytes at ten million records.
        #[arg(long, default_value = ".")]
        folder: PathBuf,
        /// The numbers of records at which opening is measured.
        #[arg(long, value_delimiter = ',', default_value = "10000,100000,1000000")]
        records: Vec<usize>,
        /// Seconds of commits at each size.
        #[arg(long, default_value_t = 2.0)]
        span: f64,
    },
    /// Run several processes of the program, with faults between them.
    Fleet {
        #[command(subcommand)]
        command: fleet::Command,
    },
    /// Measure the cost of the control plane and of a dispatching node at growing sizes, with simulated members and real
    /// coordinators on loopback, and fit slopes to the results. Exits with 1 if a limit of the file is exceeded, and
    /// with 3 if it was interrupted or its time limit was reached.
    Scale(scale::Arguments),
    /// Measure one dispatching node, in this process.
    #[command(hide = true)]
    ScaleNode(scale::NodeArguments),
    /// Run many real processes under overlapping faults, drawn from seeds, and check them against the invariants
    /// (docs/invariants.md). Exits with 1 if one was violated; the plan is written to a file in that case.
    Soak(soak::Arguments),
    /// Simulate scenario files again, each with its own seed. Exits with 1 if a rule was violated.
    Replay {
        /// The scenario files.
        scenarios: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(code) => code,
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("linestack-lab: {line}");
            }
            ExitCode::from(2)
        }
    }
}

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

fn run(arguments: &Arguments) -> Fallible<ExitCode> {
    match &arguments.command {
        Command::Run { scenario, seeds: count, policy } => {
            let s = scenario_file::read(scenario)?;
            let started = Instant::now();
            let results = run_all(&with_seeds(&s, *count), &[*policy], arguments.quiet || *count < 2);
            let took = started.elapsed().as_secs_f64();
            if arguments.json {
                write_json_lines(&results)?;
            } else {
                print!("{}", result_table(&results));
                let simulated = s.span_s * *count as f64;
                let events: u64 = results.iter().map(|r| r.outcome.events).sum();
                println!(
                    "{simulated:.0} simulated s in {took:.2} s ({:.0} times real time), {events} events",
                    simulated / took
                );
            }
            Ok(exit_code(&results))
        }
        Command::Compare { scenario, seeds: count, policies } => {
            let s = scenario_file::read(scenario)?;
            let all: Vec<Policy> = <Policy as clap::ValueEnum>::value_variants().to_vec();
            let policies = if policies.is_empty() { all } else { policies.clone() };
            let results = run_all(&with_seeds(&s, *count), &policies, arguments.quiet);
            if arguments.json {
                write_json_lines(&results)?;
            } else {
                print!("{}", comparison_table(&results, &policies));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Sweep { scenario, axes, seeds: count, policies } => {
            let s = scenario_file::read(scenario)?;
            let points = grid(&s, axes)?;
            let seeds_of = |(_, s): &(String, Scenario)| with_seeds(s, *count);
            let all: Vec<Scenario> = points.iter().flat_map(seeds_of).collect();
            let results = run_all(&all, policies, arguments.quiet);
            if arguments.json {
                write_json_lines(&results)?;
            } else {
                let size = *count as usize * policies.len();
                for ((name, _), results) in points.iter().zip(results.chunks(size)) {
                    println!("{name}\n{}", comparison_table(results, policies));
                }
            }
            Ok(exit_code(&results))
        }
        Command::Report { scenario, seeds: count, policies, out } => {
            let text = std::fs::read_to_string(scenario).unwrap_or_default();
            // In a plan `nodes` is a number; in a scenario it is a table.
            let is_plan = toml::from_str::<toml::Table>(&text)
                .is_ok_and(|t| t.get("nodes").is_some_and(|n| n.is_integer()));
            let page = if is_plan {
                let plan = fleet::read_plan(scenario)?;
                report::fleet_page(&plan, &fleet::run_plan(&plan, &NodeProcess::program_path()?, None)?)?
            } else {
                let s = scenario_file::read(scenario)?;
                report::simulation_page(
                    &s.name,
                    &run_all(&with_seeds(&s, *count), policies, arguments.quiet),
                )?
            };
            std::fs::write(out, page)?;
            println!("{}", out.display());
            Ok(ExitCode::SUCCESS)
        }
        Command::Hunt { seeds, from, against, most, tries, out } => {
            run_hunt(*from, *seeds, *against, *most, *tries, out, arguments.quiet)
        }
        Command::Serve { scenario, span } => {
            let fleet = Arc::new(StandInFleet::start(&scenario_file::read(scenario)?)?);
            fleet.run_faults();
            println!("discovery {}", fleet.discovery);
            fleet.executors.iter().for_each(|e| println!("executor {e}"));
            std::thread::sleep(Duration::from_secs_f64(span.clamp(0.0, MAX_SERVE_S)));
            Ok(ExitCode::SUCCESS)
        }
        Command::Load { scenario, to, clients, rate, span, ramp } => {
            let s = scenario_file::read(scenario)?;
            let plan = load_plan(*clients, *rate, *span, *ramp)?;
            let loaded = load::load(&s, to, &plan, seed_from_clock())?;
            println!("{LOAD_TABLE_HEAD}\n{}", load_row("load", &loaded));
            Ok(ExitCode::SUCCESS)
        }
        Command::Fill { workers, slots, clients, work_ms, span, ramp } => {
            let s = large_executors(*workers, *slots, *work_ms);
            s.validate()?;
            let plan = load_plan(*clients, None, *span, *ramp)?;
            let fleet = StandInFleet::start(&s)?;
            let node = NodeProcess::start(&NodeProcess::program_path()?, &fleet.configuration("n0", 1))?;
            let direct = load::load(&s, &fleet.executors, &plan, seed_from_clock())?;
            let through = load::load(&s, &[node.address], &plan, seed_from_clock())?;
            println!(
                "{LOAD_TABLE_HEAD}\n{}\n{}",
                load_row("direct", &direct),
                load_row("through a node", &through)
            );
            println!("{:.3} of the direct rate", through.rate() / direct.rate());
            Ok(ExitCode::SUCCESS)
        }
        Command::Starts { count, at_once, ready_within, hung_after, via, program } => {
            let span = |s: f64| {
                Duration::try_from_secs_f64(s)
                    .map_err(|e| format!("expected a time of 0 s or more, found {s} s: {e}"))
            };
            let plan = starts::Plan {
                count: *count,
                at_once: *at_once,
                ready_within: span(*ready_within)?,
                hung_after: span(*hung_after)?,
                via: via.split_whitespace().map(str::to_owned).collect(),
            };
            let program = program.clone().map_or_else(NodeProcess::program_path, Ok)?;
            run_starts(&program, &plan)
        }
        Command::Demo => run_demo(),
        Command::Soak(arguments) => soak::soak(arguments),
        Command::Store { folder, records, span } => {
            let span = Duration::try_from_secs_f64(*span)
                .map_err(|e| format!("expected a span of 0 s or more, found {span} s: {e}"))?;
            if !arguments.json {
                println!("sync   batch  records/s   median us  p99 us    written/given");
            }
            for sync in [true, false] {
                for batch in [1, 8, 64, 512] {
                    let store_folder = tempfile::tempdir_in(folder)?;
                    let c = store_benchmark::measure_commits(store_folder.path(), sync, batch, span)?;
                    if arguments.json {
                        println!("{}", serde_json::to_string(&c)?);
                    } else {
                        println!(
                            "{sync:<5}  {batch:>5}  {:>9.0}   {:>9.1}  {:>8.1}  {:.2}",
                            c.records_per_s, c.median_us, c.p99_us, c.amplification
                        );
                    }
                }
            }
            if !arguments.json {
                println!("records     bytes        s from a checkpoint  s without  index bytes a record");
            }
            for records in records {
                let store_folder = tempfile::tempdir_in(folder)?;
                let b = store_benchmark::measure_reopen(store_folder.path(), *records)?;
                if arguments.json {
                    println!("{}", serde_json::to_string(&b)?);
                } else {
                    println!(
                        "{records:<10}  {:<11}  {:>19.3}  {:>9.3}  {:.0}",
                        b.bytes,
                        b.from_checkpoint_s,
                        b.without_checkpoint_s,
                        b.index_bytes as f64 / *records as f64
                    );
                }
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Scale(scale_arguments) => scale::execute(scale_arguments, arguments.json, arguments.quiet),
        Command::ScaleNode(node_arguments) => scale::execute_node(node_arguments),
        Command::Fleet { command } => fleet::run_command(command, arguments.json),
        Command::Replay { scenarios } => {
            let all = scenarios.iter().map(|p| scenario_file::read(p)).collect::<Result<Vec<_>, _>>()?;
            let results = run_all(&all, &[Policy::Linestack], arguments.quiet);
            if arguments.json {
                write_json_lines(&results)?;
            } else {
                print!("{}", result_table(&results));
            }
            Ok(exit_code(&results))
        }
    }
}

/// Searches random scenarios, and writes the shrunk findings to files in `out`.
fn run_hunt(
    from: u64,
    count: u64,
    against: Option<Policy>,
    most: usize,
    tries: usize,
    out: &std::path::Path,
    quiet: bool,
) -> Fallible<ExitCode> {
    let SearchResult { violating, findings } = search(from, count, against, most, quiet);
    println!("{count} scenarios from seed {from}: {violating} violated a rule");
    for finding in &findings {
        let small = shrink(finding, tries);
        std::fs::create_dir_all(out)?;
        let name = match finding.criterion {
            Criterion::Violation(rule) => format!("{rule:?}"),
            Criterion::Loss { against, .. } => format!("loss-{}", against.name()),
        };
        let path = out.join(format!("{}-{}.toml", name.to_lowercase(), small.seed));
        std::fs::write(&path, to_toml(&small))?;
        println!("{name}: {}", path.display());
        let policies: Vec<Policy> = match finding.criterion {
            Criterion::Violation(_) => vec![Policy::Linestack],
            Criterion::Loss { against, .. } => vec![Policy::Linestack, against],
        };
        print!("{}", result_table(&run_all(&[small], &policies, true)));
    }
    Ok(ExitCode::from(u8::from(violating > 0)))
}

/// Starts and stops the program many times, and prints the counts.
fn run_starts(program: &std::path::Path, plan: &starts::Plan) -> Fallible<ExitCode> {
    // The deadline is short because a stopping node continues to serve for half of it.
    let product = Product { latency_target_ms: 50.0, deadline_ms: 100.0, ..Product::default() };
    let fleet = StandInFleet::start(&Scenario { products: vec![product], ..Scenario::default() })?;
    let started = Instant::now();
    let c = starts::run_starts(program, &fleet, plan)?;
    println!(
        "{} starts, {} at once, {:.0} s: {} ready within {:.1} s, {} late, {} hung, {} refused; {} stopped badly; \
         longest {:.2} s",
        plan.count,
        plan.at_once,
        started.elapsed().as_secs_f64(),
        c.ready,
        plan.ready_within.as_secs_f64(),
        c.late,
        c.hung,
        c.refused,
        c.stopped_badly,
        c.longest.as_secs_f64()
    );
    c.notes.iter().for_each(|note| println!("  {note}"));
    Ok(ExitCode::from(u8::from(!c.is_clean())))
}
