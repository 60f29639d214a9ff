//! The program `linestack-lab`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use linestack_lab::file;
use linestack_lab::fleet;
use linestack_lab::hunt::{Prey, search, shrink, to_file};
use linestack_lab::keep;
use linestack_lab::loads::{HEAD, demo, large, plan, row, seed_now};
use linestack_lab::play::{play_all, seeds};
use linestack_lab::policies::Policy;
use linestack_lab::report;
use linestack_lab::scale;
use linestack_lab::soak;
use linestack_lab::starts;
use linestack_lab::sweep::{Axis, grid};
use linestack_lab::tables::{comparison, lines, table, verdict};
use linestack_rig::load;
use linestack_rig::node_process::NodeProcess;
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Product, Scenario};

/// Plays worlds of whole nodes in simulated time, and loads real nodes on loopback.
#[derive(Parser)]
#[command(version, about, propagate_version = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// No progress bars.
    #[arg(long, short, global = true)]
    quiet: bool,
    /// Results as JSON Lines on standard output, one world a line.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario, and tell what came of it. Exits with 1 if a rule was broken.
    Run {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long, value_enum, default_value = "linestack")]
        policy: Policy,
    },
    /// Play a scenario by several policies on the same seeds.
    Compare {
        scenario: PathBuf,
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// All, if none is named.
        #[arg(long, value_enum, value_delimiter = ',')]
        policies: Vec<Policy>,
    },
    /// Play a grid over keys of a scenario, such as `executors.0.slots=2,8,64`.
    Sweep {
        scenario: PathBuf,
        #[arg(required = true)]
        axes: Vec<Axis>,
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        #[arg(long, value_enum, value_delimiter = ',', default_value = "linestack")]
        policies: Vec<Policy>,
    },
    /// Play a scenario by several policies, or a plan of real processes once, and write one HTML page with plots.
    Report {
        scenario: PathBuf,
        #[arg(long, default_value_t = 4)]
        seeds: u64,
        #[arg(
            long,
            value_enum,
            value_delimiter = ',',
            default_value = "linestack,random,two-choices,true-state"
        )]
        policies: Vec<Policy>,
        #[arg(long, default_value = "report.html")]
        out: PathBuf,
    },
    /// Search random small worlds for a broken rule, or for the largest loss against a policy; what is found
    /// is cut down to the smallest scenario that shows it. Exits with 1 if a rule was broken.
    Hunt {
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Look for losses against this policy too.
        #[arg(long, value_enum)]
        against: Option<Policy>,
        /// How many of the largest losses to keep.
        #[arg(long, default_value_t = 1)]
        most: usize,
        /// Plays that cutting down may take, for each find.
        #[arg(long, default_value_t = 2000)]
        tries: usize,
        /// Where the scenarios go.
        #[arg(long, default_value = "found")]
        out: PathBuf,
    },
    /// Stand-in executors and discovery of a scenario, on loopback and in real time, with its troubles.
    Serve {
        scenario: PathBuf,
        /// Seconds until it ends by itself.
        #[arg(long, default_value_t = 3600.0)]
        span: f64,
    },
    /// Load nodes on loopback with bounded clients, and tell how long answers took.
    Load {
        scenario: PathBuf,
        /// Where the nodes, or executors, listen.
        #[arg(required = true)]
        to: Vec<std::net::SocketAddr>,
        #[arg(long, default_value_t = 16)]
        clients: usize,
        /// Requests a second, at a fixed pace; else each client asks again once it is answered.
        #[arg(long)]
        rate: Option<f64>,
        #[arg(long, default_value_t = 10.0)]
        span: f64,
        /// Seconds over which the clients begin.
        #[arg(long, default_value_t = 1.0)]
        ramp: f64,
    },
    /// What a node makes of workers of many slots: so many closed-loop clients, directly and through a node.
    Fill {
        #[arg(long, default_value_t = 4)]
        workers: u32,
        #[arg(long, default_value_t = 64)]
        slots: u32,
        #[arg(long, default_value_t = 200)]
        clients: usize,
        /// Time that a job holds its slot.
        #[arg(long, default_value_t = 20.0)]
        work_ms: f64,
        #[arg(long, default_value_t = 5.0)]
        span: f64,
        #[arg(long, default_value_t = 1.0)]
        ramp: f64,
    },
    /// Start and stop the real program many times, many at once, and tell which starts were late, hung or refused.
    /// Exits with 1 unless all served in time and ended well.
    Starts {
        #[arg(long, default_value_t = 10_000)]
        count: u64,
        #[arg(long, default_value_t = 100)]
        at_once: usize,
        /// Seconds from the start of the process to a 200 of /healthz.
        #[arg(long, default_value_t = 10.0)]
        ready_within: f64,
        /// Seconds after which a start or a stop counts as hung.
        #[arg(long, default_value_t = 60.0)]
        hung_after: f64,
        /// Words before the program, such as "taskset -c 0".
        #[arg(long, default_value = "")]
        via: String,
        /// Another build of the program.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Two real nodes and a small fleet, loaded through a fault for some seconds.
    Demo,
    /// What a store costs on this disk: commits by size with and without a sync, and how long it takes to come back.
    Store {
        /// Made and removed here, some gigabytes at ten million records.
        #[arg(long, default_value = ".")]
        folder: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "10000,100000,1000000")]
        records: Vec<usize>,
        #[arg(long, default_value_t = 2.0)]
        span: f64,
    },
    /// Several processes of the program, with faults between them.
    Fleet {
        #[command(subcommand)]
        command: fleet::Command,
    },
    /// Measure what control and a dispatching node cost at growing sizes: hollow members beside real coordinators, all
    /// on loopback, and slopes through what was found. Exits with 1 if a limit of the file is passed, 3 if it was
    /// interrupted or its time was over.
    Scale(scale::Arguments),
    /// One dispatching node, measured in a process of its own.
    #[command(hide = true)]
    ScaleNode(scale::NodeArguments),
    /// Play many real processes under overlapping troubles, drawn from seeds, and judge them by the invariants
    /// (docs/invariants.md). Exits with 1 if one was broken; the plan is kept then.
    Soak(soak::Arguments),
    /// Play scenario files again, as they are. Exits with 1 if a rule was broken.
    Replay { scenarios: Vec<PathBuf> },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match go(&arguments) {
        Ok(code) => code,
        Err(why) => {
            for line in why.to_string().lines() {
                eprintln!("linestack-lab: {line}");
            }
            ExitCode::from(2)
        }
    }
}

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

fn go(arguments: &Arguments) -> Fallible<ExitCode> {
    match &arguments.command {
        Command::Run { scenario, seeds: count, policy } => {
            let s = file::read(scenario)?;
            let started = Instant::now();
            let played = play_all(&seeds(&s, *count), &[*policy], arguments.quiet || *count < 2);
            let took = started.elapsed().as_secs_f64();
            if arguments.json {
                lines(&played)?;
            } else {
                print!("{}", table(&played));
                let simulated = s.span_s * *count as f64;
                let events: u64 = played.iter().map(|p| p.outcome.events).sum();
                println!(
                    "{simulated:.0} simulated s in {took:.2} s ({:.0} times real time), {events} events",
                    simulated / took
                );
            }
            Ok(verdict(&played))
        }
        Command::Compare { scenario, seeds: count, policies } => {
            let s = file::read(scenario)?;
            let all: Vec<Policy> = <Policy as clap::ValueEnum>::value_variants().to_vec();
            let policies = if policies.is_empty() { all } else { policies.clone() };
            let played = play_all(&seeds(&s, *count), &policies, arguments.quiet);
            if arguments.json {
                lines(&played)?;
            } else {
                print!("{}", comparison(&played, &policies));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Sweep { scenario, axes, seeds: count, policies } => {
            let s = file::read(scenario)?;
            let points = grid(&s, axes)?;
            let each = |(_, s): &(String, Scenario)| seeds(s, *count);
            let all: Vec<Scenario> = points.iter().flat_map(each).collect();
            let played = play_all(&all, policies, arguments.quiet);
            if arguments.json {
                lines(&played)?;
            } else {
                let size = *count as usize * policies.len();
                for ((name, _), played) in points.iter().zip(played.chunks(size)) {
                    println!("{name}\n{}", comparison(played, policies));
                }
            }
            Ok(verdict(&played))
        }
        Command::Report { scenario, seeds: count, policies, out } => {
            let text = std::fs::read_to_string(scenario).unwrap_or_default();
            // A plan names steps, and how many nodes as a number.
            let of_plan = toml::from_str::<toml::Table>(&text)
                .is_ok_and(|t| t.get("nodes").is_some_and(|n| n.is_integer()));
            let page = if of_plan {
                let plan = fleet::read(scenario)?;
                report::fleet(&plan, &fleet::play(&plan, &NodeProcess::program_path()?, None)?)?
            } else {
                let s = file::read(scenario)?;
                report::page(&s.name, &play_all(&seeds(&s, *count), policies, arguments.quiet))?
            };
            std::fs::write(out, page)?;
            println!("{}", out.display());
            Ok(ExitCode::SUCCESS)
        }
        Command::Hunt { seeds, from, against, most, tries, out } => {
            found(*from, *seeds, *against, *most, *tries, out, arguments.quiet)
        }
        Command::Serve { scenario, span } => {
            let fleet = Arc::new(StandInFleet::start(&file::read(scenario)?)?);
            fleet.run_faults();
            println!("discovery {}", fleet.discovery);
            fleet.executors.iter().for_each(|e| println!("executor {e}"));
            std::thread::sleep(Duration::from_secs_f64(span.clamp(0.0, 86_400.0)));
            Ok(ExitCode::SUCCESS)
        }
        Command::Load { scenario, to, clients, rate, span, ramp } => {
            let s = file::read(scenario)?;
            let plan = plan(*clients, *rate, *span, *ramp)?;
            let loaded = load::load(&s, to, &plan, seed_now())?;
            println!("{HEAD}\n{}", row("load", &loaded));
            Ok(ExitCode::SUCCESS)
        }
        Command::Fill { workers, slots, clients, work_ms, span, ramp } => {
            let s = large(*workers, *slots, *work_ms);
            s.validate()?;
            let plan = plan(*clients, None, *span, *ramp)?;
            let fleet = StandInFleet::start(&s)?;
            let node = NodeProcess::start(&NodeProcess::program_path()?, &fleet.configuration("n0", 1))?;
            let direct = load::load(&s, &fleet.executors, &plan, seed_now())?;
            let through = load::load(&s, &[node.address], &plan, seed_now())?;
            println!("{HEAD}\n{}\n{}", row("direct", &direct), row("through a node", &through));
            println!("{:.3} of the direct rate", through.rate() / direct.rate());
            Ok(ExitCode::SUCCESS)
        }
        Command::Starts { count, at_once, ready_within, hung_after, via, program } => {
            let span = |s: f64| Duration::try_from_secs_f64(s).map_err(|_| "a span of time is over 0");
            let plan = starts::Plan {
                count: *count,
                at_once: *at_once,
                ready_within: span(*ready_within)?,
                hung_after: span(*hung_after)?,
                via: via.split_whitespace().map(str::to_owned).collect(),
            };
            let program = program.clone().map_or_else(NodeProcess::program_path, Ok)?;
            many_starts(&program, &plan)
        }
        Command::Demo => demo(),
        Command::Soak(arguments) => soak::soak(arguments),
        Command::Store { folder, records, span } => {
            let span = Duration::try_from_secs_f64(*span).map_err(|_| "a span of time is over 0")?;
            if !arguments.json {
                println!("sync   batch  records/s   median us  p99 us    written/given");
            }
            for sync in [true, false] {
                for batch in [1, 8, 64, 512] {
                    let place = tempfile::tempdir_in(folder)?;
                    let c = keep::commits(place.path(), sync, batch, span)?;
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
                let place = tempfile::tempdir_in(folder)?;
                let b = keep::back(place.path(), *records)?;
                if arguments.json {
                    println!("{}", serde_json::to_string(&b)?);
                } else {
                    println!(
                        "{records:<10}  {:<11}  {:>19.3}  {:>9.3}  {:.0}",
                        b.bytes,
                        b.from_checkpoint_s,
                        b.without_s,
                        b.index_bytes as f64 / *records as f64
                    );
                }
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Scale(told) => scale::go(told, arguments.json, arguments.quiet),
        Command::ScaleNode(told) => scale::go_node(told),
        Command::Fleet { command } => fleet::go(command, arguments.json),
        Command::Replay { scenarios } => {
            let all = scenarios.iter().map(|p| file::read(p)).collect::<Result<Vec<_>, _>>()?;
            let played = play_all(&all, &[Policy::Linestack], arguments.quiet);
            if arguments.json {
                lines(&played)?;
            } else {
                print!("{}", table(&played));
            }
            Ok(verdict(&played))
        }
    }
}

fn found(
    from: u64,
    count: u64,
    against: Option<Policy>,
    most: usize,
    tries: usize,
    out: &std::path::Path,
    quiet: bool,
) -> Fallible<ExitCode> {
    let (broken, found) = search(from, count, against, most, quiet);
    println!("{count} worlds from seed {from}: {broken} with a broken rule");
    for find in &found {
        let small = shrink(find, tries);
        std::fs::create_dir_all(out)?;
        let what = match find.prey {
            Prey::Broken(rule) => format!("{rule:?}"),
            Prey::Loss(other, _) => format!("loss-{}", other.name()),
        };
        let path = out.join(format!("{}-{}.toml", what.to_lowercase(), small.seed));
        std::fs::write(&path, to_file(&small))?;
        println!("{what}: {}", path.display());
        let policies: Vec<Policy> = match find.prey {
            Prey::Broken(_) => vec![Policy::Linestack],
            Prey::Loss(other, _) => vec![Policy::Linestack, other],
        };
        print!("{}", table(&play_all(&[small], &policies, true)));
    }
    Ok(ExitCode::from(u8::from(broken > 0)))
}

fn many_starts(program: &std::path::Path, plan: &starts::Plan) -> Fallible<ExitCode> {
    // A short cut-off, since a node that stops serves on for half of it.
    let product = Product { latency_target_ms: 50.0, deadline_ms: 100.0, ..Product::default() };
    let fleet = StandInFleet::start(&Scenario { products: vec![product], ..Scenario::default() })?;
    let begin = Instant::now();
    let c = starts::starts(program, &fleet, plan)?;
    println!(
        "{} starts, {} at once, {:.0} s: {} ready within {:.1} s, {} late, {} hung, {} refused; {} stopped badly; \
         longest {:.2} s",
        plan.count,
        plan.at_once,
        begin.elapsed().as_secs_f64(),
        c.ready,
        plan.ready_within.as_secs_f64(),
        c.late,
        c.hung,
        c.refused,
        c.stopped_badly,
        c.longest.as_secs_f64()
    );
    c.notes.iter().for_each(|note| println!("  {note}"));
    Ok(ExitCode::from(u8::from(!c.sound())))
}
