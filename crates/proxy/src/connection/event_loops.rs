//! The threads that serve callers, each with an event loop of its own.
//!
//! Threads that share one loop hand each other the tasks that it wakes. For requests of a few
//! microseconds the handing over costs more than the work, and several threads served no more than
//! one. A caller's task stays on the thread that it was given to, and the target connections that
//! it uses are brought there. See `docs/design/transaction-pooling.md`.

use std::io;
use std::thread;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// The name of the threads.
const THREAD_NAME: &str = "traffic";

/// The loops. Dropping them ends their threads, and with them every task that still runs there.
#[derive(Debug, Default)]
pub struct EventLoops {
    loops: Vec<EventLoop>,
}

#[derive(Debug)]
struct EventLoop {
    handle: Handle,
    /// The loop ends when this is dropped.
    _running: oneshot::Sender<()>,
}

impl EventLoops {
    /// Starts one more loop. The error is that of the thread, or of what it waits on.
    pub fn start_one(&mut self) -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (running, ended) = oneshot::channel();
        thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(move || {
            // Nothing is ever sent: this ends when the sender is dropped.
            let _ = runtime.block_on(ended);
        })?;
        self.loops.push(EventLoop { handle, _running: running });
        Ok(())
    }

    /// The loop with the fewest tasks; the present one if none was started.
    pub fn least_busy(&self) -> Handle {
        let tasks = |event_loop: &&EventLoop| event_loop.handle.metrics().num_alive_tasks();
        let least = self.loops.iter().min_by_key(tasks);
        least.map_or_else(Handle::current, |event_loop| event_loop.handle.clone())
    }
}
