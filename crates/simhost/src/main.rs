//! Hosts one dispatcher for each instance on the simulator's wire, over standard input and output.

mod instance;

use std::error::Error;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use instance::Instance;
use linestack_simwire::{Batch, Incoming, Reply};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("linestack-simhost: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let (mut batch, mut reply) = (Batch::default(), Reply::default());
    let mut instances: Vec<Option<Instance>> = Vec::new();
    while batch.read(&mut input)? {
        for event in batch.events() {
            let (node, event) = event?;
            let place = usize::from(node);
            if place >= instances.len() {
                instances.resize_with(place + 1, || None);
            }
            match event {
                Incoming::Start(start) => instances[place] = Some(Instance::new(node, *start)),
                Incoming::Killed => instances[place] = None,
                event => {
                    if let Some(instance) = &mut instances[place] {
                        instance.take(batch.clock, event, &mut reply);
                    }
                }
            }
        }
        reply.write(batch.number, &mut output)?;
    }
    Ok(())
}
