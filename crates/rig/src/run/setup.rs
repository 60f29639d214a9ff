//! Sets up a run: stand-ins, links, and the configuration of each process.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::Sender;

use linestack_history::Line;
use linestack_world::{Executors, Product, RepeatPolicy, Scenario, Tenant};
use serde_json::{Value, json};

use super::observations::{LogTails, Observations};
use super::{Rig, leads_to, observer};
use crate::clients;
use crate::link::Link;
use crate::plan::{Plan, StagedStart};
use crate::process::Process;
use crate::stand_ins::StandInFleet;

/// The time in seconds for which nodes store the outcomes of submissions.
const OUTCOME_RETENTION_S: u64 = 600;

/// The time for which a coordinator holds leadership is a lease divided by this, but at least [`MIN_HOLD_MS`].
const HOLDS_PER_LEASE: u64 = 4;
const MIN_HOLD_MS: u64 = 100;

/// The number of the initial policy of a fleet.
const FIRST_POLICY: u64 = 1;

/// Returns the scenario that the stand-ins of a plan follow.
#[must_use]
pub fn scenario(plan: &Plan) -> Scenario {
    let product = |name: &str, repeats| Product {
        name: name.into(),
        work_ms: plan.work_ms,
        latency_target_ms: plan.load.deadline_ms as f64 / 2.0,
        deadline_ms: plan.load.deadline_ms as f64,
        repeats,
        ..Product::default()
    };
    let executors = Executors {
        count: plan.executors,
        slots: plan.slots,
        cores: f64::from(plan.slots),
        cold_capacity_share: plan.cold_capacity_share,
        cold_s: plan.cold_ms / 1e3,
        ..Executors::default()
    };
    let mut scenario = Scenario {
        seed: plan.seed,
        executors: vec![executors],
        products: vec![
            product(clients::ONE_SHOT, RepeatPolicy::OneShot),
            product(clients::IDEMPOTENT, RepeatPolicy::Idempotent),
        ],
        tenants: vec![Tenant { name: "all".into(), ..Tenant::default() }],
        ..Scenario::default()
    };
    scenario.nodes.count = plan.nodes as u32;
    scenario.load.per_s = plan.load.rate;
    scenario
}

/// Returns a fleet name that no other run on this machine has. Ports are reused, so a process of another run may reach
/// a coordinator of this run, which must refuse it.
fn unique_fleet_name() -> String {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    format!("rig-{}-{}", std::process::id(), RUNS.fetch_add(1, Ordering::Relaxed))
}

impl<'a> Rig<'a> {
    /// Starts the stand-ins, opens the links and configures all processes. None of them runs yet.
    pub(super) fn set_up(
        plan: &'a Plan,
        program: &Path,
        folder: &Path,
        history: Sender<Line>,
    ) -> io::Result<Self> {
        let stand_ins = StandInFleet::start_observed(&scenario(plan), Some(observer(&history, "executors")))?;
        let mut rig = Self {
            plan,
            program: program.to_owned(),
            folder: folder.to_owned(),
            fleet_name: unique_fleet_name(),
            first_policy: stand_ins.configuration("any", 1)["settings"].clone(),
            stand_ins,
            links: BTreeMap::new(),
            processes: BTreeMap::new(),
            addresses: HashMap::new(),
            observations: Arc::default(),
            log_tails: LogTails::default(),
            opened: Arc::default(),
            history,
            operators: Vec::new(),
            file_policies: HashMap::new(),
        };
        rig.open_links()?;
        for number in 0..plan.nodes {
            rig.set_up_node(number)?;
        }
        for number in 0..plan.coordinators {
            rig.set_up_coordinator(number)?;
        }
        Ok(rig)
    }

    /// Opens all links of the plan. Links to executors lead to the stand-ins; the others get their targets later.
    fn open_links(&mut self) -> io::Result<()> {
        for name in self.plan.link_names() {
            let framed = leads_to(&name, |end| end.starts_with('c'));
            let observations: Arc<Observations> = Arc::clone(&self.observations);
            let observer =
                move |link: &str, direction, kind| observations.frame_passed(link, direction, kind);
            let link = Link::open(&name, framed, Arc::new(observer))?;
            self.links.insert(name, Arc::new(link));
        }
        for (number, address) in self.stand_ins.executors.iter().enumerate() {
            for node in 0..self.plan.nodes {
                self.links[&format!("n{node}>e{number}")].set_target(Some(*address));
            }
        }
        Ok(())
    }

    /// Creates a node's process with its configuration files, and its store if the plan has stores.
    fn set_up_node(&mut self, number: usize) -> io::Result<()> {
        let plan = self.plan;
        let name = format!("n{number}");
        let mut process = Process::new(&name, self.folder.join(&name), &self.program, &[]);
        fs::create_dir_all(process.store_folder())?;
        let file = self.node_file(&name, number)?;
        write_file(&mut process, "PROXY_CONFIG", "node.json", &file.to_string())?;
        if plan.store {
            let store = outcome_store_of(&process);
            let content = json!({"store": {"folder": store, "same-by": "idempotency-key",
                "remember-s": OUTCOME_RETENTION_S}});
            write_toml(&mut process, "PROXY_STORE", "store.toml", &content)?;
            self.init_store(&store, EarlierStore::None)?;
        }
        if plan.peers {
            let ask = self.peer_addresses(number);
            let content = json!({"peers": {"fleet": self.fleet_name, "listen": "127.0.0.1:0", "ask": ask}});
            write_toml(&mut process, "PROXY_PEERS", "peers.toml", &content)?;
        }
        if plan.starts.on {
            let StagedStart { connects_per_s, lists_per_s, sessions_per_s, .. } = plan.starts;
            let content = json!({"start": {"connects-per-s": connects_per_s, "lists-per-s": lists_per_s,
                "sessions-per-s": sessions_per_s}});
            write_toml(&mut process, "PROXY_START", "start.toml", &content)?;
        }
        if plan.coordinators > 0 {
            let content = json!({"fleet": {"id": self.fleet_name, "member": name,
                "coordinators": self.coordinators_for(&name), "folder": process.store_folder(),
                "mode": if plan.strict { "strict" } else { "available" },
                "history": process.folder.join("history")}});
            write_toml(&mut process, "PROXY_FLEET", "fleet.toml", &content)?;
        }
        self.processes.insert(name, process);
        Ok(())
    }

    /// Returns a node's own configuration file, by which it reaches discovery and executors over its links.
    fn node_file(&self, name: &str, number: usize) -> io::Result<Value> {
        let link_to = |executor| self.links[&format!("{name}>e{executor}")].address;
        let executors: Vec<SocketAddr> = (0..self.plan.executors).map(link_to).collect();
        let discovery = &self.links[&format!("{name}>d")];
        discovery.set_target(Some(self.stand_ins.discovery_with(&executors)?));
        let mut file = self.stand_ins.configuration(name, number as u64 + 1);
        file["discovery"] = json!(discovery.address.to_string());
        Ok(file)
    }

    /// Returns the addresses at which a node asks the other nodes for their observations.
    fn peer_addresses(&self, number: usize) -> Vec<String> {
        let others = (0..self.plan.nodes).filter(|other| *other != number);
        others.map(|other| self.links[&format!("n{number}>p{other}")].address.to_string()).collect()
    }

    /// Returns the address at which a process reaches each coordinator; empty for itself.
    pub(super) fn coordinators_for(&self, from: &str) -> Vec<String> {
        let address =
            |number| self.links.get(&format!("{from}>c{number}")).map(|link| link.address.to_string());
        (0..self.plan.coordinators).map(|number| address(number).unwrap_or_default()).collect()
    }

    /// Creates a coordinator's process with its configuration file.
    fn set_up_coordinator(&mut self, number: usize) -> io::Result<()> {
        let name = format!("c{number}");
        let folder = self.folder.join(&name);
        let path = folder.join("coordinator.toml");
        let arguments = ["coordinate", &path.display().to_string()];
        let mut process = Process::new(&name, folder.clone(), &self.program, &arguments);
        process.next_start_arguments.push("--first".into());
        fs::create_dir_all(process.store_folder())?;
        let first_policy = folder.join("policy.json");
        fs::write(&first_policy, self.policy(FIRST_POLICY).to_string())?;
        let lease_ms = self.plan.lease_ms;
        let content = json!({"coordinator": {"fleet": self.fleet_name, "number": number, "listen": "127.0.0.1:0",
            "peers": self.coordinators_for(&name), "folder": process.store_folder(), "first-policy": first_policy,
            "lease-ms": lease_ms, "hold-ms": (lease_ms / HOLDS_PER_LEASE).max(MIN_HOLD_MS),
            "history": folder.join("history")}});
        fs::write(&path, toml::to_string(&content).map_err(io::Error::other)?)?;
        self.processes.insert(name, process);
        Ok(())
    }

    /// Creates a node's store, as an operator does.
    pub(super) fn init_store(&self, folder: &Path, earlier: EarlierStore) -> io::Result<()> {
        let mut command = Command::new(&self.program);
        command.args(["store", "init"]).args((earlier == EarlierStore::Lost).then_some("--lost")).arg(folder);
        let output = command.output()?;
        if output.status.success() {
            return Ok(());
        }
        Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()))
    }

    /// Returns the settings of a policy by its number. Policies differ in the payoff of traffic beyond a tenant's share.
    /// Policy 0 cannot be adopted, because it has a different product.
    pub(super) fn policy(&self, number: u64) -> Value {
        let mut policy = self.first_policy.clone();
        if let Some(policy) = policy.as_object_mut() {
            policy.remove("az");
        }
        match number {
            0 => policy["products"][0]["name"] = json!("other"),
            _ => policy["excessPayoff"] = json!((0.5 + 0.001 * number as f64).min(1.0)),
        }
        policy
    }
}

/// Whether there was a store before the one that is created.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EarlierStore {
    None,
    /// An earlier store, which is lost.
    Lost,
}

/// Returns the folder of a node's store of outcomes.
pub(super) fn outcome_store_of(process: &Process) -> PathBuf {
    process.store_folder().join("kept")
}

/// Writes a file into a process's folder, and sets an environment variable of the process to its path.
fn write_file(process: &mut Process, variable: &str, file: &str, text: &str) -> io::Result<()> {
    let path = process.folder.join(file);
    fs::write(&path, text)?;
    process.variables.push((variable.into(), path.display().to_string()));
    Ok(())
}

fn write_toml(process: &mut Process, variable: &str, file: &str, content: &Value) -> io::Result<()> {
    let text = toml::to_string(content).map_err(io::Error::other)?;
    write_file(process, variable, file, &text)
}
