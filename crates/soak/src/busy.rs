//! Threads that keep processors busy.

use std::hint;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

/// Threads that compute until this value is dropped.
#[derive(Debug)]
pub struct BusyThreads(Arc<AtomicBool>);

impl BusyThreads {
    /// Starts the threads.
    pub fn start(count: usize) -> BusyThreads {
        let is_running = Arc::new(AtomicBool::new(true));
        for _ in 0..count {
            let is_running = Arc::clone(&is_running);
            thread::spawn(move || {
                while is_running.load(Ordering::Relaxed) {
                    hint::spin_loop();
                }
            });
        }
        BusyThreads(is_running)
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}
