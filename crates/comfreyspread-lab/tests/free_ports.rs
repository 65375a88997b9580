//! Ports for the processes of a test.

use comfreyspread_lab::process;
use std::{net, path, thread};

const SPAWNERS: usize = 4;
const CHILDREN: usize = 150;
const PORTS: usize = 2000;

/// Guards against nodes that find their port taken: a child that was started by another test while a
/// port was probed holds the socket until it runs its program.
#[test]
fn never_held() {
    thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                for _ in 0..CHILDREN {
                    process::ChildProcess::new(path::Path::new("true"), &[]).expect("a child");
                }
            });
        }
        let is_held = |address: &net::SocketAddr| net::TcpListener::bind(address).is_err();
        let addresses = (0..PORTS).map(|_| process::free_address().expect("a port"));
        let held = addresses.filter(is_held).count();
        assert_eq!(held, 0, "of {PORTS} ports");
    });
}
