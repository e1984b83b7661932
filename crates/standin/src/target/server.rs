//! Listens for a target, and ends and restarts it as a process would.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::network::Network;
use crate::network::set_member;

use super::Target;
use super::connection;
use super::options::TargetOptions;
use super::replication;

#[derive(Debug)]
struct Running {
    stop: watch::Sender<bool>,
    accept: JoinHandle<()>,
    replication: JoinHandle<()>,
}

/// A target that listens.
#[derive(Debug)]
pub struct TargetServer {
    target: Arc<Target>,
    address: SocketAddr,
    running: Mutex<Option<Running>>,
}

impl TargetServer {
    /// Starts a target in the current runtime.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub async fn start(
        options: TargetOptions,
        network: &Arc<Network>,
    ) -> Result<TargetServer, io::Error> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let target = Target::new(options, Arc::clone(network));
        network.register(address, &target);
        let server = TargetServer { target, address, running: Mutex::new(None) };
        server.run(listener);
        Ok(server)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The target's state.
    pub fn target(&self) -> &Arc<Target> {
        &self.target
    }

    /// Ends the target as a crash would: connections are reset, open transactions are gone, the
    /// log, the terms and the data stay.
    pub fn kill(&self) {
        let Some(running) = self.running.lock().take() else { return };
        self.set_dead(true);
        running.accept.abort();
        running.replication.abort();
        running.stop.send_replace(true);
    }

    /// Starts a killed target again on the same address.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub async fn restart(&self) -> Result<(), io::Error> {
        if self.running.lock().is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address).await?;
        self.set_dead(false);
        self.run(listener);
        Ok(())
    }

    fn set_dead(&self, dead: bool) {
        let name = &self.target.options.name;
        self.target.network.change(|faults| set_member(&mut faults.dead, name, dead));
    }

    fn run(&self, listener: TcpListener) {
        let stop = watch::Sender::new(false);
        let accept = accept(Arc::clone(&self.target), listener, stop.clone());
        let running = Running {
            accept: tokio::spawn(accept),
            replication: tokio::spawn(replication::run(Arc::clone(&self.target))),
            stop,
        };
        *self.running.lock() = Some(running);
    }
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn accept(target: Arc<Target>, listener: TcpListener, stop: watch::Sender<bool>) {
    loop {
        // An error here is one connection's, or passes, as when file descriptors are short.
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(Arc::clone(&target), stream, stop.subscribe()));
        } else {
            tokio::task::yield_now().await;
        }
    }
}

async fn serve(target: Arc<Target>, mut stream: TcpStream, mut stop: watch::Receiver<bool>) {
    let stopped = tokio::select! {
        () = connection::serve(target, &mut stream) => false,
        _ = stop.wait_for(|stop| *stop) => true,
    };
    if stopped {
        // A crashed process's connections end with a reset, not with an orderly close. Without the
        // option the connection closes orderly, which callers have to take as well.
        let _ = stream.set_zero_linger();
    }
}
