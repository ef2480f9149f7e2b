//! A proxy that holds up all bytes for a while, as a partition does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

/// A proxy in front of one address. Clones share its state.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(at: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(at).expect("the proxy listens");
        let proxy = Self {
            address: listener.local_addr().expect("it has an address"),
            is_cut: Arc::default(),
        };
        let serving = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = serving.clone();
                thread::spawn(move || proxy.forward(stream, to));
            }
        });
        proxy
    }

    /// Holds up all bytes, the ends of channels and new channels from now on, or lets them
    /// pass.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(1));
        }
    }

    fn forward(&self, from: TcpStream, to: SocketAddr) {
        self.wait();
        let Ok(server) = TcpStream::connect(to) else {
            return;
        };
        let _ = from.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (Ok(from_again), Ok(server_again)) = (from.try_clone(), server.try_clone()) else {
            return;
        };
        let back = self.clone();
        thread::spawn(move || back.pump(server_again, from_again));
        self.pump(from, server);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buf);
            self.wait();
            match read {
                Ok(n) if n > 0 && to.write_all(&buf[..n]).is_ok() => {}
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }
}
