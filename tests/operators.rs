//! What operators do with a running balancer: read its counters, take an upstream offline, replace the process.

mod common;

use common::operator::*;
use common::process::*;
use serde_json::{Value, json};
use socket2::Socket;
use std::io::Read;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[test]
fn the_admin_listener_distinguishes_paths_methods_and_malformed_requests() {
    let discovery = Discovery::start();
    let mut program = Program::start(&config_with_admin(discovery.address, &[]));
    let admin = admin_address(&mut program);
    assert_eq!(admin_request(admin, "GET", "/control/ready").status(), 503, "no upstream is listed");
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    discovery.publish(&in_service(&[&upstream]));
    wait_for_counters(admin, |counters| counters["hosts_listed"] == 1);
    assert_eq!(admin_request(admin, "GET", "/control/ready").status(), 200);
    let wrong_method = admin_request(admin, "POST", "/control/ready");
    assert_eq!((wrong_method.status(), wrong_method.headers["allow"].as_str()), (405, "GET"));
    assert_eq!(admin_request(admin, "GET", "/control/upstreams/s-0/offline").status(), 405);
    for path in
        ["/", "/control", "/control/upstreams/s-0", "/control/upstreams//offline", "/control/ready/more"]
    {
        assert_eq!(admin_request(admin, "GET", path).status(), 404, "{path}");
    }
    assert_eq!(send_raw(admin, "what is this\r\n\r\n").expect("no response").status(), 400);
    assert_eq!(program.request("look").status(), 200, "clients have an address of their own");
    assert_eq!(send_raw(program.address, "GET /control/ready HTTP/1.1\r\n\r\n").unwrap().status(), 404);
}

#[test]
fn there_is_no_admin_listener_without_an_address() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = Program::start(&config(refusing_address(), &in_service(&[&upstream])));
    assert_eq!(program.request("look").status(), 200);
    program.terminate();
    let (status, log) = program.wait_for_exit();
    assert!(status.success() && !log.contains("operators"), "{log}");
}

/// Guards operators against connections that send nothing: each request to the admin listener is owed a response within
/// a second.
#[test]
fn silent_connections_keep_no_operator_waiting() {
    let mut program = Program::start(&config_with_admin(refusing_address(), &[]));
    let admin = admin_address(&mut program);
    let mut idle_connections: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(admin).unwrap()).collect();
    let started = Instant::now();
    for _ in 0..20 {
        read_counters(admin);
    }
    assert!(started.elapsed() < Duration::from_secs(20), "20 requests took more than a second each");
    for connection in &mut idle_connections {
        connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert_eq!(connection.read(&mut [0]).unwrap_or(0), 0, "an idle connection is not closed");
    }
}

/// Guards the descriptor limit, which clients and discovery share, against many connections to the admin listener at
/// once.
#[test]
fn many_connections_to_the_admin_listener_use_only_its_descriptors() {
    let mut config = config_with_admin(refusing_address(), &[]);
    config["limits"]["sockets"] = 96.into();
    let mut program = Program::start_with_descriptor_limit(&config);
    let admin = admin_address(&mut program);
    program.pause();
    let connections: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(admin).unwrap()).collect();
    program.resume();
    read_counters(admin);
    drop(connections);
    program.terminate();
    let (status, log) = program.wait_for_exit();
    assert!(status.success() && !log.contains("cannot take"), "{log}");
}

#[test]
fn counters_agree_with_what_clients_and_upstreams_see() {
    let upstream = Upstream::start(|message| match message.first_line.split(' ').nth(1).unwrap() {
        "/look?x=1" => UpstreamAction::Respond(ok_response("")),
        "/pay?x=1" => UpstreamAction::Respond(rejected_response()),
        _ => UpstreamAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into()),
    });
    let mut program = Program::start(&config_with_admin(refusing_address(), &in_service(&[&upstream])));
    let admin = admin_address(&mut program);
    let counts =
        |success: u32, busy: u32, failure: u32| json!({"success": success, "busy": busy, "failure": failure});
    let initial = read_counters(admin);
    assert_eq!(initial["calls"]["look"], counts(0, 0, 0));
    assert_eq!((&initial["backend_calls"], &initial["inflight"]), (&json!(0), &json!(0)));
    for _ in 0..3 {
        assert_eq!(program.request("look").status(), 200);
    }
    assert_eq!(program.request("pay").status(), 503);
    for _ in 0..2 {
        assert_eq!(program.request("post").status(), 502);
    }
    let counters = wait_for_counters(admin, |counters| counters["inflight"] == 0);
    let expected_calls = json!({"look": counts(3, 0, 0), "pay": counts(0, 1, 0), "post": counts(0, 0, 2)});
    assert_eq!(counters["calls"], expected_calls);
    assert_eq!(counters["backend_calls"], upstream.take_request_count(), "as many as the upstream received");
    assert_eq!(counters["hosts_listed"], 1);
}

#[test]
fn requests_in_flight_are_counted_until_they_end() {
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let mut program = Program::start(&config_with_admin(refusing_address(), &in_service(&[&upstream])));
    let admin = admin_address(&mut program);
    let mut clients: Vec<Client> = (0..4).map(|_| program.connect()).collect();
    for client in &mut clients {
        client.send("post", LONG_BUDGET, "b");
        upstream.next_request();
    }
    assert_eq!(read_counters(admin)["inflight"], 4);
    clients.truncate(1);
    wait_for_counters(admin, |counters| counters["inflight"] == 1);
}

#[test]
fn an_offline_upstream_gets_no_requests_until_it_is_brought_online() {
    let (first, second) = (
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
    );
    let discovery = Discovery::start();
    let mut program = Program::start(&config_with_admin(discovery.address, &in_service(&[&first, &second])));
    let admin = admin_address(&mut program);
    let serve =
        |requests: usize| (0..requests).for_each(|_| assert_eq!(program.request("look").status(), 200));
    serve(10);
    assert!(first.take_request_count() > 0, "both upstreams get requests");
    assert_eq!(send_order(admin, "s-0", "offline"), 200);
    assert_eq!(send_order(admin, "s-0", "offline"), 200, "a repeated order succeeds");
    assert_eq!(read_counters(admin)["hosts_down"], 1);
    serve(10);
    discovery.publish(&in_service(&[&first, &second]));
    serve(10);
    discovery.publish(&[target("s-1", second.address, "in_service")]);
    assert_eq!(wait_for_counters(admin, |counters| counters["hosts_listed"] == 1)["hosts_down"], 0);
    discovery.publish(&in_service(&[&first, &second]));
    serve(10);
    assert_eq!(first.take_request_count(), 0, "listed again or anew, it stays offline");
    assert_eq!(send_order(admin, "s-9", "offline"), 404, "never listed");
    assert_eq!(send_order(admin, "s-9", "online"), 404);
    assert_eq!(send_order(admin, "s-0", "online"), 200);
    assert_eq!(send_order(admin, "s-0", "online"), 200, "a repeated order succeeds");
    let started = Instant::now();
    while first.take_request_count() == 0 {
        serve(1);
        assert!(started.elapsed() < TEST_TIMEOUT, "the upstream brought back online gets no requests");
    }
}

/// What the platform passes to every process of a balancer: the listening socket and the shared folder.
struct Platform {
    socket: Socket,
    folder: PathBuf,
}

impl Platform {
    fn new(name: &str) -> Self {
        Self { socket: inheritable_listener(), folder: shared_folder(name) }
    }

    fn start(&self, config: &Value) -> Program {
        let folder = self.folder.to_str().unwrap().to_owned();
        let fd = self.socket.as_raw_fd().to_string();
        let program = Program::start_with(config, &[("LB_LISTEN_FD", fd), ("TMPDIR", folder)]);
        assert_eq!(program.address, self.socket.local_addr().unwrap().as_socket().unwrap());
        program
    }
}

/// Guards clients during an upgrade: those that are connected, and those that connect, all get a response.
#[test]
fn a_new_process_takes_over_without_refusing_a_client() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let config = config_with_admin(refusing_address(), &in_service(&[&upstream]));
    let platform = Platform::new("takes-over");
    let mut old = platform.start(&config);
    let mut clients: Vec<Client> = (0..10).map(|_| old.connect()).collect();
    for client in &mut clients {
        assert_eq!(client.request("look", LONG_BUDGET, "").expect("served").status(), 200);
    }
    let mut silent_clients: Vec<Client> = (0..10).map(|_| old.connect()).collect();
    let mut new = platform.start(&config);
    let admins = (admin_address(&mut old), admin_address(&mut new));
    assert_eq!(admin_request(admins.1, "GET", "/control/ready").status(), 200);
    wait_for_counters(admins.0, |counters| counters["calls"]["look"]["success"] == 10);
    old.terminate();
    for _ in 0..10 {
        assert_eq!(old.request("look").status(), 200, "new clients are served");
    }
    for client in &mut clients {
        let response = client.request("look", LONG_BUDGET, "").expect("connected clients are served");
        assert_eq!(response.status(), 200);
        if response.headers.get("connection").is_some_and(|value| value == "close") {
            assert!(
                client.read_response().is_none(),
                "the connection is closed, so that the client connects to the new process"
            );
        }
    }
    for client in &mut silent_clients {
        let response = client
            .request("look", LONG_BUDGET, "")
            .expect("connected clients without a request so far are served");
        assert_eq!(response.status(), 200);
    }
    drop((clients, silent_clients));
    let (status, log) = old.wait_for_exit();
    assert!(status.success(), "{log}");
    assert_eq!(new.request("look").status(), 200);
}

/// Guards against requests to an upstream that an operator has taken offline, from a process that started later or did
/// not receive the order itself.
#[test]
fn an_offline_upstream_stays_offline_when_the_process_is_replaced() {
    let upstreams = [(); 3].map(|()| Upstream::start(|_| UpstreamAction::Respond(ok_response(""))));
    let config = config_with_admin(refusing_address(), &in_service(&upstreams.each_ref()));
    let platform = Platform::new("stays-out");
    let mut old = platform.start(&config);
    let old_admin = admin_address(&mut old);
    assert_eq!(send_order(old_admin, "s-0", "offline"), 200);
    let mut new = platform.start(&config);
    let new_admin = admin_address(&mut new);
    assert_eq!(read_counters(new_admin)["hosts_down"], 1, "from its start");
    assert_eq!(send_order(new_admin, "s-1", "offline"), 200);
    wait_for_counters(old_admin, |counters| counters["hosts_down"] == 2);
    for _ in 0..20 {
        assert_eq!(new.request("look").status(), 200, "served by either process");
    }
    assert_eq!(upstreams.each_ref().map(Upstream::take_request_count), [0, 0, 20]);
    assert_eq!(send_order(old_admin, "s-1", "online"), 200);
    wait_for_counters(new_admin, |counters| counters["hosts_down"] == 1);
}

#[test]
fn a_descriptor_that_is_no_socket_is_named_in_the_log() {
    let config = config(refusing_address(), &[]).to_string();
    for fd in ["0", "977", "-1", "three"] {
        let (status, log) = run_until_exit_with(&config, &[("LB_LISTEN_FD", fd.into())]);
        assert!(!status.success() && log.contains("LB_LISTEN_FD"), "{fd}: {log}");
    }
}
