//! Listens for a target, and ends and restarts it as a process would.
//!
//! A killed target's socket stops listening and stays bound: connections are refused at once, and no other
//! process gets the port before the target starts again.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::network::Network;
use crate::network::insert_or_remove;

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
    listener: Mutex<Arc<TcpListener>>,
    running: Mutex<Option<Running>>,
}

impl TargetServer {
    /// Starts a target in the current runtime.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(
        options: TargetOptions,
        network: &Arc<Network>,
    ) -> Result<TargetServer, io::Error> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let target = Target::new(options, Arc::clone(network));
        network.register(address, &target);
        let listener = Mutex::new(Arc::new(listener));
        let server = TargetServer { target, address, listener, running: Mutex::new(None) };
        server.run();
        Ok(server)
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the target's state.
    pub fn target(&self) -> &Arc<Target> {
        &self.target
    }

    /// Ends the target like a crash: connections are reset and open transactions are lost; the
    /// log, the terms and the data are kept.
    pub fn kill(&self) {
        let Some(running) = self.running.lock().take() else { return };
        self.set_dead(true);
        running.accept.abort();
        running.replication.abort();
        // This fails only for a socket that does not listen.
        let _ = SockRef::from(&**self.listener.lock()).shutdown(Shutdown::Both);
        running.stop.send_replace(true);
    }

    /// Starts a killed target again on the same address.
    ///
    /// # Errors
    ///
    /// If another process has bound the address meanwhile.
    pub async fn restart(&self) -> Result<(), io::Error> {
        if self.running.lock().is_some() {
            return Ok(());
        }
        // The previous socket is closed once the new one is bound to the port.
        let listener = TcpListener::bind(self.address).await?;
        *self.listener.lock() = Arc::new(listener);
        self.set_dead(false);
        self.run();
        Ok(())
    }

    fn set_dead(&self, dead: bool) {
        let name = &self.target.options.name;
        self.target.network.change(|faults| insert_or_remove(&mut faults.dead, name, dead));
    }

    fn run(&self) {
        let stop = watch::Sender::new(false);
        let listener = Arc::clone(&self.listener.lock());
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

async fn accept(target: Arc<Target>, listener: Arc<TcpListener>, stop: watch::Sender<bool>) {
    loop {
        // An error concerns one connection, or is transient, such as a lack of file descriptors.
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
        // The connections of a crashed process end with a reset. Without the
        // option the connection closes orderly, which callers have to handle as well.
        let _ = stream.set_zero_linger();
    }
}
