//! The threads that serve callers, each with its own event loop.
//!
//! Threads that share a loop hand woken tasks to each other. For requests of a few microseconds the
//! hand-over costs more than the work, and several threads serve no more than one. Therefore a caller's
//! task stays on the thread it was assigned to, and the target connections that it uses are moved to
//! that thread. See `docs/design/transaction-pooling.md`.

use std::io;
use std::thread;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// The name of the threads.
const THREAD_NAME: &str = "traffic";

/// The event loops. Dropping them stops their threads and every task that still runs there.
#[derive(Debug, Default)]
pub struct EventLoops {
    loops: Vec<EventLoop>,
}

#[derive(Debug)]
struct EventLoop {
    handle: Handle,
    /// The loop stops when this is dropped.
    _running: oneshot::Sender<()>,
}

impl EventLoops {
    /// Starts another loop. Fails if its thread or its I/O driver can't be created.
    pub fn start_one(&mut self) -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (running, ended) = oneshot::channel();
        thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(move || {
            // Nothing is ever sent; the wait ends when the sender is dropped.
            let _ = runtime.block_on(ended);
        })?;
        self.loops.push(EventLoop { handle, _running: running });
        Ok(())
    }

    /// Returns the loop with the fewest tasks, or the current one if none was started.
    pub fn least_busy(&self) -> Handle {
        let tasks = |event_loop: &&EventLoop| event_loop.handle.metrics().num_alive_tasks();
        let least = self.loops.iter().min_by_key(tasks);
        least.map_or_else(Handle::current, |event_loop| event_loop.handle.clone())
    }
}
