//! Requests of an operator to the admin listener of the real program.

use super::process::{Message, Program, TEST_TIMEOUT, config};
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Reads the admin address from the log of a program that was just started.
pub fn admin_address(program: &mut Program) -> SocketAddr {
    program.wait_for_log("operators are served").trim().rsplit(' ').next().unwrap().parse().unwrap()
}

/// The usual configuration, with an admin listener.
pub fn config_with_admin(discovery: SocketAddr, known: &[String]) -> Value {
    let mut config = config(discovery, known);
    config["admin_addr"] = "127.0.0.1:0".into();
    config
}

/// Writes this text to the admin listener; `None` if the connection ends without a response.
pub fn send_raw(admin: SocketAddr, text: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    Message::read(&mut BufReader::new(stream))
}

/// Sends a request without a body to the admin listener.
pub fn admin_request(admin: SocketAddr, method: &str, path: &str) -> Message {
    send_raw(admin, &format!("{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n"))
        .expect("the admin listener closed the connection without a response")
}

/// Sends the order `offline` or `online` for an upstream; returns the status.
pub fn send_order(admin: SocketAddr, uid: &str, order: &str) -> u16 {
    admin_request(admin, "POST", &format!("/control/upstreams/{uid}/{order}")).status()
}

/// Reads the counters.
pub fn read_counters(admin: SocketAddr) -> Value {
    let response = admin_request(admin, "GET", "/control/counters");
    assert_eq!(response.status(), 200);
    serde_json::from_slice(&response.body).unwrap()
}

/// Reads the counters until they meet a condition; they may lag behind the requests.
pub fn wait_for_counters(admin: SocketAddr, condition: impl Fn(&Value) -> bool) -> Value {
    let started = Instant::now();
    loop {
        let counters = read_counters(admin);
        if condition(&counters) {
            return counters;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "counters do not reach the expected values: {counters}");
    }
}

/// Creates an empty folder for processes to share, in /dev/shm where that exists, as on the platform.
pub fn shared_folder(name: &str) -> PathBuf {
    let in_memory = Path::new("/dev/shm");
    let parent = if in_memory.is_dir() { in_memory } else { Path::new(env!("CARGO_TARGET_TMPDIR")) };
    let folder = parent.join(format!("{name}-{}", std::process::id()));
    std::fs::remove_dir_all(&folder).ok();
    std::fs::create_dir_all(&folder).unwrap();
    folder
}
