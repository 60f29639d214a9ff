//! Hosts a dispatcher for each instance of the simulator. The simulator's protocol runs over standard input and output.

mod instance;

use std::error::Error;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use instance::Instance;
use linestack_simwire::{Batch, Incoming, Reply};

/// The size in bytes of the buffers of standard input and output.
const BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linestack-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let (mut batch, mut reply) = (Batch::default(), Reply::default());
    // By the number of the instance; none for one that has not started or was killed.
    let mut instances: Vec<Option<Instance>> = Vec::new();
    while batch.read(&mut input)? {
        for event in batch.events() {
            let (node, event) = event?;
            let index = usize::from(node);
            if index >= instances.len() {
                instances.resize_with(index + 1, || None);
            }
            match event {
                Incoming::Start(settings) => instances[index] = Some(Instance::new(node, *settings)),
                Incoming::Killed => instances[index] = None,
                event => {
                    if let Some(instance) = &mut instances[index] {
                        instance.handle(batch.clock, event, &mut reply);
                    }
                }
            }
        }
        reply.write(batch.number, &mut output)?;
    }
    Ok(())
}
