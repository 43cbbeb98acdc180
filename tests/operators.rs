//! What operators do with a running balancer: read figures, take an upstream out, replace the process.

mod common;

use common::operator::*;
use common::process::*;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[test]
fn door_tells_paths_methods_and_heads_apart() {
    let discovery = Discovery::start();
    let mut program = Program::start(&with_door(discovery.address, &[]));
    let door = door(&mut program);
    assert_eq!(call(door, "GET", "/control/ready").status(), 503, "no upstream is listed");
    let upstream = Upstream::start(|_| Act::Answer(ok("")));
    discovery.publish(&in_service(&[&upstream]));
    counted(door, |figures| figures["hosts_listed"] == 1);
    assert_eq!(call(door, "GET", "/control/ready").status(), 200);
    let wrong_method = call(door, "POST", "/control/ready");
    assert_eq!((wrong_method.status(), wrong_method.headers["allow"].as_str()), (405, "GET"));
    assert_eq!(call(door, "GET", "/control/upstreams/s-0/offline").status(), 405);
    for path in
        ["/", "/control", "/control/upstreams/s-0", "/control/upstreams//offline", "/control/ready/more"]
    {
        assert_eq!(call(door, "GET", path).status(), 404, "{path}");
    }
    assert_eq!(say(door, "what is this\r\n\r\n").expect("an answer").status(), 400);
    assert_eq!(program.call("look").status(), 200, "callers have an address of their own");
    assert_eq!(say(program.address, "GET /control/ready HTTP/1.1\r\n\r\n").unwrap().status(), 404);
}

#[test]
fn no_address_no_door() {
    let upstream = Upstream::start(|_| Act::Answer(ok("")));
    let program = Program::start(&config(refusing(), &in_service(&[&upstream])));
    assert_eq!(program.call("look").status(), 200);
    program.terminate();
    let (status, log) = program.end();
    assert!(status.success() && !log.contains("operators"), "{log}");
}

/// Guards operators against those who connect and say nothing: an answer is owed within a second.
#[test]
fn silent_holders_keep_no_operator_waiting() {
    let mut program = Program::start(&with_door(refusing(), &[]));
    let door = door(&mut program);
    let mut holders: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(door).unwrap()).collect();
    let asked = Instant::now();
    for _ in 0..20 {
        counters(door);
    }
    assert!(asked.elapsed() < Duration::from_secs(20), "a second each");
    for holder in &mut holders {
        holder.set_read_timeout(Some(PATIENCE)).unwrap();
        assert_eq!(holder.read(&mut [0]).unwrap_or(0), 0, "it is closed in the end");
    }
}

/// Guards the limit of descriptors, which callers and discovery share, against many who come to the door at once.
#[test]
fn a_rush_at_the_door_takes_no_more_than_its_descriptors() {
    let mut config = with_door(refusing(), &[]);
    config["limits"]["sockets"] = 96.into();
    let mut program = Program::start_limited(&config);
    let door = door(&mut program);
    program.pause();
    let rush: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(door).unwrap()).collect();
    program.go_on();
    counters(door);
    drop(rush);
    program.terminate();
    let (status, log) = program.end();
    assert!(status.success() && !log.contains("cannot take"), "{log}");
}

#[test]
fn figures_are_those_that_peers_see() {
    let upstream = Upstream::start(|message| match message.first_line.split(' ').nth(1).unwrap() {
        "/look?x=1" => Act::Answer(ok("")),
        "/pay?x=1" => Act::Answer(full()),
        _ => Act::Answer("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into()),
    });
    let mut program = Program::start(&with_door(refusing(), &in_service(&[&upstream])));
    let door = door(&mut program);
    let count =
        |success: u32, busy: u32, failure: u32| json!({"success": success, "busy": busy, "failure": failure});
    let at_first = counters(door);
    assert_eq!(at_first["calls"]["look"], count(0, 0, 0));
    assert_eq!((&at_first["backend_calls"], &at_first["inflight"]), (&json!(0), &json!(0)));
    for _ in 0..3 {
        assert_eq!(program.call("look").status(), 200);
    }
    assert_eq!(program.call("pay").status(), 503);
    for _ in 0..2 {
        assert_eq!(program.call("post").status(), 502);
    }
    let figures = counted(door, |figures| figures["inflight"] == 0);
    let calls = json!({"look": count(3, 0, 0), "pay": count(0, 1, 0), "post": count(0, 0, 2)});
    assert_eq!(figures["calls"], calls);
    assert_eq!(figures["backend_calls"], upstream.requests(), "as many as the upstream got");
    assert_eq!(figures["hosts_listed"], 1);
}

#[test]
fn requests_in_flight_are_counted_until_they_end() {
    let upstream = Upstream::start(|_| Act::Silence);
    let mut program = Program::start(&with_door(refusing(), &in_service(&[&upstream])));
    let door = door(&mut program);
    let mut callers: Vec<Caller> = (0..4).map(|_| program.connect()).collect();
    for caller in &mut callers {
        caller.send("post", LONG, "b");
        upstream.request();
    }
    assert_eq!(counters(door)["inflight"], 4);
    callers.truncate(1);
    counted(door, |figures| figures["inflight"] == 1);
}

#[test]
fn an_upstream_taken_out_gets_nothing_until_it_is_put_back() {
    let (one, two) = (Upstream::start(|_| Act::Answer(ok(""))), Upstream::start(|_| Act::Answer(ok(""))));
    let discovery = Discovery::start();
    let mut program = Program::start(&with_door(discovery.address, &in_service(&[&one, &two])));
    let door = door(&mut program);
    let serve = |calls: usize| (0..calls).for_each(|_| assert_eq!(program.call("look").status(), 200));
    serve(10);
    assert!(one.requests() > 0, "both are in use");
    assert_eq!(order(door, "s-0", "offline"), 200);
    assert_eq!(order(door, "s-0", "offline"), 200, "once more is no mistake");
    assert_eq!(counters(door)["hosts_down"], 1);
    serve(10);
    discovery.publish(&in_service(&[&one, &two]));
    serve(10);
    discovery.publish(&[target("s-1", two.address, "in_service")]);
    assert_eq!(counted(door, |figures| figures["hosts_listed"] == 1)["hosts_down"], 0);
    discovery.publish(&in_service(&[&one, &two]));
    serve(10);
    assert_eq!(one.requests(), 0, "listed again or anew, it stays out");
    assert_eq!(order(door, "s-9", "offline"), 404, "never listed");
    assert_eq!(order(door, "s-9", "online"), 404);
    assert_eq!(order(door, "s-0", "online"), 200);
    assert_eq!(order(door, "s-0", "online"), 200, "a single call ends it");
    let asked = Instant::now();
    while one.requests() == 0 {
        serve(1);
        assert!(asked.elapsed() < PATIENCE, "it gets work again");
    }
}

/// What every process of a balancer is handed: the listening socket and a folder.
struct Platform {
    socket: Socket,
    folder: PathBuf,
}

impl Platform {
    fn new(name: &str) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(128).unwrap();
        socket.set_cloexec(false).unwrap();
        Self { socket, folder: shared_folder(name) }
    }

    fn start(&self, config: &Value) -> Program {
        let folder = self.folder.to_str().unwrap().to_owned();
        let fd = self.socket.as_raw_fd().to_string();
        let program = Program::start_with(config, &[("LB_LISTEN_FD", fd), ("TMPDIR", folder)]);
        assert_eq!(program.address, self.socket.local_addr().unwrap().as_socket().unwrap());
        program
    }
}

/// Guards the callers over an upgrade: whoever is connected, or connects, is answered.
#[test]
fn a_new_process_takes_over_without_turning_anybody_back() {
    let upstream = Upstream::start(|_| Act::Answer(ok("")));
    let config = with_door(refusing(), &in_service(&[&upstream]));
    let platform = Platform::new("takes-over");
    let mut old = platform.start(&config);
    let mut callers: Vec<Caller> = (0..10).map(|_| old.connect()).collect();
    for caller in &mut callers {
        assert_eq!(caller.call("look", LONG, "").expect("served").status(), 200);
    }
    let mut unheard: Vec<Caller> = (0..10).map(|_| old.connect()).collect();
    let mut new = platform.start(&config);
    let doors = (door(&mut old), door(&mut new));
    assert_eq!(call(doors.1, "GET", "/control/ready").status(), 200);
    counted(doors.0, |figures| figures["calls"]["look"]["success"] == 10);
    old.terminate();
    for _ in 0..10 {
        assert_eq!(old.call("look").status(), 200, "new callers are served");
    }
    for caller in &mut callers {
        let answer = caller.call("look", LONG, "").expect("those that were connected are served");
        assert_eq!(answer.status(), 200);
        if answer.headers.get("connection").is_some_and(|value| value == "close") {
            assert!(caller.answer().is_none(), "and sent to the next process");
        }
    }
    for caller in &mut unheard {
        let answer = caller.call("look", LONG, "").expect("those that had not asked are served");
        assert_eq!(answer.status(), 200);
    }
    drop((callers, unheard));
    let (status, log) = old.end();
    assert!(status.success(), "{log}");
    assert_eq!(new.call("look").status(), 200);
}

/// Guards an upstream that is out by hand against the process that was not there when it was taken out, and one
/// process against what only the other's door was told.
#[test]
fn what_is_taken_out_stays_out_over_a_replacement() {
    let upstreams = [(); 3].map(|()| Upstream::start(|_| Act::Answer(ok(""))));
    let config = with_door(refusing(), &in_service(&upstreams.each_ref()));
    let platform = Platform::new("stays-out");
    let mut old = platform.start(&config);
    let old_door = door(&mut old);
    assert_eq!(order(old_door, "s-0", "offline"), 200);
    let mut new = platform.start(&config);
    let new_door = door(&mut new);
    assert_eq!(counters(new_door)["hosts_down"], 1, "from its start");
    assert_eq!(order(new_door, "s-1", "offline"), 200);
    counted(old_door, |figures| figures["hosts_down"] == 2);
    for _ in 0..20 {
        assert_eq!(new.call("look").status(), 200, "by whichever process");
    }
    assert_eq!(upstreams.each_ref().map(Upstream::requests), [0, 0, 20]);
    assert_eq!(order(old_door, "s-1", "online"), 200);
    counted(new_door, |figures| figures["hosts_down"] == 1);
}

#[test]
fn names_a_descriptor_that_is_no_socket() {
    let config = config(refusing(), &[]).to_string();
    for fd in ["0", "977", "-1", "three"] {
        let (status, log) = run_to_end_with(&config, &[("LB_LISTEN_FD", fd.into())]);
        assert!(!status.success() && log.contains("LB_LISTEN_FD"), "{fd}: {log}");
    }
}
