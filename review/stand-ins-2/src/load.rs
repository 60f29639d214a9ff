//! A steady load of clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{Answer, Client, Request};
use crate::{Random, Record};

/// Clients that go on until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<(Request, Answer)>>>,
}

impl Load {
    /// Starts this many clients, spread over the nodes, which together send up to `rate` requests a second. `next` makes a request
    /// from its id.
    pub fn start(
        nodes: &[SocketAddr],
        clients: usize,
        rate: f64,
        record: &Record,
        next: impl Fn(&mut Random, String) -> Request + Send + Sync + 'static,
    ) -> Self {
        let (stop, answers, next) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<_>>>::default(), Arc::new(next));
        let threads = (0..clients).map(|index| {
            let node = nodes[index % nodes.len()];
            let (stop, answers, next, record) =
                (Arc::clone(&stop), Arc::clone(&answers), Arc::clone(&next), record.clone());
            thread::spawn(move || {
                let mut random = Random(7000 + index as u64);
                let mut client = Client::new(node);
                let mean = clients as f64 / rate;
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_secs_f64(2.0 * mean * random.unit()));
                    let id = format!("{:016x}", random.next());
                    let request = next(&mut random, id);
                    let answer = client.send(&request, &record);
                    answers.lock().unwrap().push((request, answer));
                }
            })
        });
        let threads = threads.collect();
        Self { stop, threads, answers }
    }

    /// Stops the clients and returns all requests with their answers.
    pub fn finish(self) -> Vec<(Request, Answer)> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        let answers = self.answers.lock().unwrap();
        answers.clone()
    }
}
