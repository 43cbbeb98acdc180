//! Discovery is asked for its list, and is slow: each call waits its turn before it is answered. An upstream begins to drain
//! meanwhile. The balancer counts as told 6 s later, and may not send to the upstream after the grace.

#[path = "../stand_ins_2/common.rs"]
mod common;

use common::{Balancer, Client, Discovery, Handler, Run, SLOW_ASK, ms, random, response, serve};
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const UPSTREAMS: usize = 4;
const CLIENTS: usize = 4;
const WORK: Duration = Duration::from_millis(10);
/// When discovery becomes slow, after the balancer is ready.
const QUIET: Duration = Duration::from_millis(4000);
/// How long each call waits its turn from then on.
const TURN: Duration = Duration::from_millis(1500);
/// From then until an upstream begins to drain.
const BEFORE_DRAIN: Duration = Duration::from_millis(5000);
/// How long the clients go on after that.
const AFTER_DRAIN: Duration = Duration::from_millis(20_000);
/// 6 s after which a change counts as told, `DrainGraceNs` of the settings, the 50 ms by which each limit is longer on
/// sockets, and 200 ms for the stand-ins themselves.
const LIMIT: Duration = Duration::from_millis(6000 + SLOW_ASK.drain_grace_ms + 50 + 200);
const DRAINING: &str = "s-0";

fn main() {
    let run = Run::new();
    let drains_at: Arc<Mutex<Option<Duration>>> = Arc::default();
    let (late, last) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Duration::ZERO)));
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|number| {
            let uid = format!("s-{number}");
            let (run, drains_at, late, last) = (run.clone(), drains_at.clone(), late.clone(), last.clone());
            let own_uid = uid.clone();
            let handler: Handler = Arc::new(move |request, reader| {
                let at = run.elapsed();
                let id = request.header("x-call-id").to_owned();
                run.line(format!("{own_uid}: got {id}"));
                if let Some(since) = drains_at.lock().unwrap().filter(|_| own_uid == DRAINING) {
                    *last.lock().unwrap() = at.saturating_sub(since);
                    if at.saturating_sub(since) > LIMIT {
                        late.fetch_add(1, Ordering::Relaxed);
                        run.line(format!("LATE: {id} came {:?} after the change", at - since));
                    }
                }
                thread::sleep(WORK);
                reader.stream.write_all(response("200 OK", &id).as_bytes()).is_ok()
            });
            (uid, serve(handler))
        })
        .collect();
    let discovery = Discovery::start(&run, "discovery", &upstreams);
    let balancer = Balancer::start(&run, "balancer", &SLOW_ASK, discovery.address, &upstreams);
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, stop, sent, served) =
                (balancer.address, stop.clone(), sent.clone(), served.clone());
            thread::spawn(move || {
                let mut client = Client::new(address);
                let mut seed = 0x0dd5_1a7e + number as u64;
                let mut sequence = 0;
                while !stop.load(Ordering::Relaxed) {
                    let class = &SLOW_ASK.classes[sequence % 3];
                    let answer = client.call(class, &format!("{number}-{sequence}"));
                    sequence += 1;
                    sent.fetch_add(1, Ordering::Relaxed);
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(ms(20 + random(&mut seed, 60)));
                }
            })
        })
        .collect();
    thread::sleep(QUIET);
    if run.trouble {
        run.line(format!("discovery is slow: each call waits {TURN:?}"));
        discovery.change(|list| list.delay = TURN);
    }
    thread::sleep(BEFORE_DRAIN);
    discovery.set_state(DRAINING, "terminating");
    *drains_at.lock().unwrap() = Some(run.elapsed());
    run.line(format!("{DRAINING} drains"));
    thread::sleep(AFTER_DRAIN);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(balancer);
    let late = late.load(Ordering::Relaxed);
    let summary = format!(
        "{} requests, {} served; the draining upstream got its last request {:.2?} after the change, and {late} requests later than {LIMIT:?} after it",
        sent.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        last.lock().unwrap(),
    );
    run.finish(late > 0, summary);
}
