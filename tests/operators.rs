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
    let mut program = Program::start(&config_with_admin(discovery.address, &[]));
    let door = admin_address(&mut program);
    assert_eq!(admin_request(door, "GET", "/control/ready").status(), 503, "no upstream is listed");
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    discovery.publish(&in_service(&[&upstream]));
    wait_for_counters(door, |figures| figures["hosts_listed"] == 1);
    assert_eq!(admin_request(door, "GET", "/control/ready").status(), 200);
    let wrong_method = admin_request(door, "POST", "/control/ready");
    assert_eq!((wrong_method.status(), wrong_method.headers["allow"].as_str()), (405, "GET"));
    assert_eq!(admin_request(door, "GET", "/control/upstreams/s-0/offline").status(), 405);
    for path in
        ["/", "/control", "/control/upstreams/s-0", "/control/upstreams//offline", "/control/ready/more"]
    {
        assert_eq!(admin_request(door, "GET", path).status(), 404, "{path}");
    }
    assert_eq!(send_raw(door, "what is this\r\n\r\n").expect("an answer").status(), 400);
    assert_eq!(program.request("look").status(), 200, "callers have an address of their own");
    assert_eq!(send_raw(program.address, "GET /control/ready HTTP/1.1\r\n\r\n").unwrap().status(), 404);
}

#[test]
fn no_address_no_door() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = Program::start(&config(refusing_address(), &in_service(&[&upstream])));
    assert_eq!(program.request("look").status(), 200);
    program.terminate();
    let (status, log) = program.wait_for_exit();
    assert!(status.success() && !log.contains("operators"), "{log}");
}

/// Guards operators against those who connect and say nothing: an answer is owed within a second.
#[test]
fn silent_holders_keep_no_operator_waiting() {
    let mut program = Program::start(&config_with_admin(refusing_address(), &[]));
    let door = admin_address(&mut program);
    let mut holders: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(door).unwrap()).collect();
    let asked = Instant::now();
    for _ in 0..20 {
        read_counters(door);
    }
    assert!(asked.elapsed() < Duration::from_secs(20), "a second each");
    for holder in &mut holders {
        holder.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert_eq!(holder.read(&mut [0]).unwrap_or(0), 0, "it is closed in the end");
    }
}

/// Guards the limit of descriptors, which callers and discovery share, against many who come to the door at once.
#[test]
fn a_rush_at_the_door_takes_no_more_than_its_descriptors() {
    let mut config = config_with_admin(refusing_address(), &[]);
    config["limits"]["sockets"] = 96.into();
    let mut program = Program::start_with_descriptor_limit(&config);
    let door = admin_address(&mut program);
    program.pause();
    let rush: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(door).unwrap()).collect();
    program.resume();
    read_counters(door);
    drop(rush);
    program.terminate();
    let (status, log) = program.wait_for_exit();
    assert!(status.success() && !log.contains("cannot take"), "{log}");
}

#[test]
fn figures_are_those_that_peers_see() {
    let upstream = Upstream::start(|message| match message.first_line.split(' ').nth(1).unwrap() {
        "/look?x=1" => UpstreamAction::Respond(ok_response("")),
        "/pay?x=1" => UpstreamAction::Respond(rejected_response()),
        _ => UpstreamAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into()),
    });
    let mut program = Program::start(&config_with_admin(refusing_address(), &in_service(&[&upstream])));
    let door = admin_address(&mut program);
    let count =
        |success: u32, busy: u32, failure: u32| json!({"success": success, "busy": busy, "failure": failure});
    let at_first = read_counters(door);
    assert_eq!(at_first["calls"]["look"], count(0, 0, 0));
    assert_eq!((&at_first["backend_calls"], &at_first["inflight"]), (&json!(0), &json!(0)));
    for _ in 0..3 {
        assert_eq!(program.request("look").status(), 200);
    }
    assert_eq!(program.request("pay").status(), 503);
    for _ in 0..2 {
        assert_eq!(program.request("post").status(), 502);
    }
    let figures = wait_for_counters(door, |figures| figures["inflight"] == 0);
    let calls = json!({"look": count(3, 0, 0), "pay": count(0, 1, 0), "post": count(0, 0, 2)});
    assert_eq!(figures["calls"], calls);
    assert_eq!(figures["backend_calls"], upstream.take_request_count(), "as many as the upstream got");
    assert_eq!(figures["hosts_listed"], 1);
}

#[test]
fn requests_in_flight_are_counted_until_they_end() {
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let mut program = Program::start(&config_with_admin(refusing_address(), &in_service(&[&upstream])));
    let door = admin_address(&mut program);
    let mut callers: Vec<Client> = (0..4).map(|_| program.connect()).collect();
    for caller in &mut callers {
        caller.send("post", LONG_BUDGET, "b");
        upstream.next_request();
    }
    assert_eq!(read_counters(door)["inflight"], 4);
    callers.truncate(1);
    wait_for_counters(door, |figures| figures["inflight"] == 1);
}

#[test]
fn an_upstream_taken_out_gets_nothing_until_it_is_put_back() {
    let (one, two) = (
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
    );
    let discovery = Discovery::start();
    let mut program = Program::start(&config_with_admin(discovery.address, &in_service(&[&one, &two])));
    let door = admin_address(&mut program);
    let serve = |calls: usize| (0..calls).for_each(|_| assert_eq!(program.request("look").status(), 200));
    serve(10);
    assert!(one.take_request_count() > 0, "both are in use");
    assert_eq!(send_order(door, "s-0", "offline"), 200);
    assert_eq!(send_order(door, "s-0", "offline"), 200, "once more is no mistake");
    assert_eq!(read_counters(door)["hosts_down"], 1);
    serve(10);
    discovery.publish(&in_service(&[&one, &two]));
    serve(10);
    discovery.publish(&[target("s-1", two.address, "in_service")]);
    assert_eq!(wait_for_counters(door, |figures| figures["hosts_listed"] == 1)["hosts_down"], 0);
    discovery.publish(&in_service(&[&one, &two]));
    serve(10);
    assert_eq!(one.take_request_count(), 0, "listed again or anew, it stays out");
    assert_eq!(send_order(door, "s-9", "offline"), 404, "never listed");
    assert_eq!(send_order(door, "s-9", "online"), 404);
    assert_eq!(send_order(door, "s-0", "online"), 200);
    assert_eq!(send_order(door, "s-0", "online"), 200, "a single call ends it");
    let asked = Instant::now();
    while one.take_request_count() == 0 {
        serve(1);
        assert!(asked.elapsed() < TEST_TIMEOUT, "it gets work again");
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
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let config = config_with_admin(refusing_address(), &in_service(&[&upstream]));
    let platform = Platform::new("takes-over");
    let mut old = platform.start(&config);
    let mut callers: Vec<Client> = (0..10).map(|_| old.connect()).collect();
    for caller in &mut callers {
        assert_eq!(caller.request("look", LONG_BUDGET, "").expect("served").status(), 200);
    }
    let mut unheard: Vec<Client> = (0..10).map(|_| old.connect()).collect();
    let mut new = platform.start(&config);
    let doors = (admin_address(&mut old), admin_address(&mut new));
    assert_eq!(admin_request(doors.1, "GET", "/control/ready").status(), 200);
    wait_for_counters(doors.0, |figures| figures["calls"]["look"]["success"] == 10);
    old.terminate();
    for _ in 0..10 {
        assert_eq!(old.request("look").status(), 200, "new callers are served");
    }
    for caller in &mut callers {
        let answer = caller.request("look", LONG_BUDGET, "").expect("those that were connected are served");
        assert_eq!(answer.status(), 200);
        if answer.headers.get("connection").is_some_and(|value| value == "close") {
            assert!(caller.read_response().is_none(), "and sent to the next process");
        }
    }
    for caller in &mut unheard {
        let answer = caller.request("look", LONG_BUDGET, "").expect("those that had not asked are served");
        assert_eq!(answer.status(), 200);
    }
    drop((callers, unheard));
    let (status, log) = old.wait_for_exit();
    assert!(status.success(), "{log}");
    assert_eq!(new.request("look").status(), 200);
}

/// Guards an upstream that is out by hand against the process that was not there when it was taken out, and one
/// process against what only the other's door was told.
#[test]
fn what_is_taken_out_stays_out_over_a_replacement() {
    let upstreams = [(); 3].map(|()| Upstream::start(|_| UpstreamAction::Respond(ok_response(""))));
    let config = config_with_admin(refusing_address(), &in_service(&upstreams.each_ref()));
    let platform = Platform::new("stays-out");
    let mut old = platform.start(&config);
    let old_door = admin_address(&mut old);
    assert_eq!(send_order(old_door, "s-0", "offline"), 200);
    let mut new = platform.start(&config);
    let new_door = admin_address(&mut new);
    assert_eq!(read_counters(new_door)["hosts_down"], 1, "from its start");
    assert_eq!(send_order(new_door, "s-1", "offline"), 200);
    wait_for_counters(old_door, |figures| figures["hosts_down"] == 2);
    for _ in 0..20 {
        assert_eq!(new.request("look").status(), 200, "by whichever process");
    }
    assert_eq!(upstreams.each_ref().map(Upstream::take_request_count), [0, 0, 20]);
    assert_eq!(send_order(old_door, "s-1", "online"), 200);
    wait_for_counters(new_door, |figures| figures["hosts_down"] == 1);
}

#[test]
fn names_a_descriptor_that_is_no_socket() {
    let config = config(refusing_address(), &[]).to_string();
    for fd in ["0", "977", "-1", "three"] {
        let (status, log) = run_until_exit_with(&config, &[("LB_LISTEN_FD", fd.into())]);
        assert!(!status.success() && log.contains("LB_LISTEN_FD"), "{fd}: {log}");
    }
}
