//! A balancer is told that an upstream drains. Then discovery goes down, and the process is replaced meanwhile. To the rules
//! both processes are one balancer, so that the new one may not send to the upstream either.

#[path = "../stand_ins_2/common.rs"]
mod common;

use common::{Balancer, Client, Discovery, Handler, LOKET_PROD, Platform, Run, ms, random, response, serve};
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const UPSTREAMS: usize = 4;
const CLIENTS: usize = 8;
const WORK: Duration = Duration::from_millis(20);
const DRAINING: &str = "s-0";
/// When the upstream begins to drain, after the first process is ready.
const DRAIN_AT: Duration = Duration::from_millis(2000);
/// From then until discovery goes down.
const DOWN_AFTER: Duration = Duration::from_millis(2000);
/// How long discovery is down, and when within that time the process is replaced.
const OUTAGE: Duration = Duration::from_millis(8000);
const REPLACED_AFTER: Duration = Duration::from_millis(1000);
/// SIGKILL comes to the old process after the longest deadline, which is 3 s, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// The news of discovery binds the new process from 2 s after its yes. Then `DrainGraceNs` of the settings, the 50 ms by
/// which each limit is longer on sockets, and 50 ms for the stand-ins themselves.
const BINDS_AFTER_YES: Duration = Duration::from_millis(2000);
const LIMIT: Duration = Duration::from_millis(LOKET_PROD.drain_grace_ms + 50 + 50);

fn main() {
    let run = Run::new();
    // From when on nothing may be sent to the draining upstream any more.
    let bound_from: Arc<Mutex<Option<Duration>>> = Arc::default();
    let (late, since_told) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Duration::ZERO)));
    let told_at: Arc<Mutex<Option<Duration>>> = Arc::default();
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|number| {
            let uid = format!("s-{number}");
            let (run, bound_from, told_at) = (run.clone(), bound_from.clone(), told_at.clone());
            let (own_uid, late, since_told) = (uid.clone(), late.clone(), since_told.clone());
            let handler: Handler = Arc::new(move |request, reader| {
                let at = run.elapsed();
                let id = request.header("x-call-id").to_owned();
                run.line(format!("{own_uid}: got {id}"));
                let is_late = bound_from.lock().unwrap().is_some_and(|from| at > from);
                if own_uid == DRAINING && is_late {
                    late.fetch_add(1, Ordering::Relaxed);
                    let told = told_at.lock().unwrap().unwrap_or(at);
                    *since_told.lock().unwrap() = at - told;
                    run.line(format!("LATE: {id} came {:?} after the balancer was told", at - told));
                }
                thread::sleep(WORK);
                reader.stream.write_all(response("200 OK", &id).as_bytes()).is_ok()
            });
            (uid, serve(handler))
        })
        .collect();
    let discovery = Discovery::start(&run, "agent", &upstreams);
    let platform = Platform::new(&run);
    let process = |name: &str| {
        Balancer::start_process(&run, name, &platform, &LOKET_PROD, discovery.address, &upstreams)
    };
    let mut old = process("old");
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, stop, sent, served) = (old.address, stop.clone(), sent.clone(), served.clone());
            thread::spawn(move || {
                let mut client = Client::new(address);
                let mut seed = 0x2545_f491 + number as u64;
                let mut sequence = 0;
                while !stop.load(Ordering::Relaxed) {
                    let class = &LOKET_PROD.classes[sequence % 3];
                    let answer = client.call(class, &format!("{number}-{sequence}"));
                    sequence += 1;
                    sent.fetch_add(1, Ordering::Relaxed);
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(ms(30 + random(&mut seed, 60)));
                }
            })
        })
        .collect();
    thread::sleep(DRAIN_AT);
    discovery.set_state(DRAINING, "terminating");
    *told_at.lock().unwrap() = Some(run.elapsed());
    run.line(format!("{DRAINING} drains, told"));
    thread::sleep(LIMIT);
    *bound_from.lock().unwrap() = Some(run.elapsed());
    thread::sleep(DOWN_AFTER - LIMIT);
    let late_of_old = late.load(Ordering::Relaxed);
    if run.trouble {
        run.line("discovery is down: the agent is silent");
        discovery.change(|list| list.silent = true);
    }
    let down_at = run.elapsed();
    thread::sleep(REPLACED_AFTER);
    // Until the news binds the new process, its requests to the upstream are not held against it.
    *bound_from.lock().unwrap() = None;
    run.line("the new process is started");
    let new = process("new");
    let yes_at = run.elapsed();
    *bound_from.lock().unwrap() = Some(yes_at + BINDS_AFTER_YES + LIMIT);
    old.signal("TERM");
    run.line("SIGTERM to the old process");
    thread::sleep((yes_at + KILLED_AFTER).saturating_sub(run.elapsed()));
    old.stop();
    run.line("the old process has ended");
    thread::sleep((down_at + OUTAGE).saturating_sub(run.elapsed()));
    discovery.change(|list| list.silent = false);
    run.line("discovery is back");
    thread::sleep(ms(2000));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(new);
    let late = late.load(Ordering::Relaxed);
    let summary = format!(
        "{} requests, {} served; {} sent to the draining upstream by the old process after the grace, {} by the new one, the last {:.1?} after the balancer was told",
        sent.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        late_of_old,
        late - late_of_old,
        since_told.lock().unwrap()
    );
    run.finish(late > 0, summary);
}
