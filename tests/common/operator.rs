//! An operator at the door of the built program.

use super::process::{Message, Program, TEST_TIMEOUT, config};
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// The address of the door of a program just started.
pub fn admin_address(program: &mut Program) -> SocketAddr {
    program.wait_for_log("operators are served").trim().rsplit(' ').next().unwrap().parse().unwrap()
}

pub fn config_with_admin(discovery: SocketAddr, known: &[String]) -> Value {
    let mut config = config(discovery, known);
    config["admin_addr"] = "127.0.0.1:0".into();
    config
}

/// Writes this to the door; the answer, if any comes.
pub fn send_raw(door: SocketAddr, text: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(door).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    Message::read(&mut BufReader::new(stream))
}

pub fn admin_request(door: SocketAddr, method: &str, path: &str) -> Message {
    send_raw(door, &format!("{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n"))
        .expect("an answer")
}

pub fn send_order(door: SocketAddr, uid: &str, order: &str) -> u16 {
    admin_request(door, "POST", &format!("/control/upstreams/{uid}/{order}")).status()
}

pub fn read_counters(door: SocketAddr) -> Value {
    let answer = admin_request(door, "GET", "/control/counters");
    assert_eq!(answer.status(), 200);
    serde_json::from_slice(&answer.body).unwrap()
}

/// Asks for the figures until they are so; they may lag.
pub fn wait_for_counters(door: SocketAddr, so: impl Fn(&Value) -> bool) -> Value {
    let asked = Instant::now();
    loop {
        let figures = read_counters(door);
        if so(&figures) {
            return figures;
        }
        assert!(asked.elapsed() < TEST_TIMEOUT, "{figures}");
    }
}

/// A folder that processes share, empty at first: in memory where there is such a place, as the platform's is.
pub fn shared_folder(name: &str) -> PathBuf {
    let in_memory = Path::new("/dev/shm");
    let parent = if in_memory.is_dir() { in_memory } else { Path::new(env!("CARGO_TARGET_TMPDIR")) };
    let folder = parent.join(format!("{name}-{}", std::process::id()));
    std::fs::remove_dir_all(&folder).ok();
    std::fs::create_dir_all(&folder).unwrap();
    folder
}
