//! Some answers of an upstream never end: they have no length, and a few bytes come now and then. Each request is owed its
//! final answer, or the end of a broken one, at the latest half a second after its time.

#[path = "../stand_ins_2/common.rs"]
mod common;

use common::{
    Balancer, Client, Discovery, Handler, LOKET_PROD, ReadEnd, Run, ms, random, request, response, serve,
};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 6;
const DURATION: Duration = Duration::from_millis(15_000);
const WORK: Duration = Duration::from_millis(20);
/// One answer in this many never ends.
const ENDLESS_ONE_IN: u64 = 20;
/// The pieces of such an answer, and the pause behind each: 2,000 bytes a second, so that the answer stays far below
/// 64 KiB for as long as its client waits.
const PIECE: usize = 100;
const PAUSE: Duration = Duration::from_millis(50);
/// How long such an answer goes on at the most, so that the run ends.
const LONGEST: Duration = Duration::from_millis(12_000);
/// Half a second after its time a request is lost; 50 ms by which each limit is longer on sockets, and 150 ms for the
/// stand-ins themselves.
const LIMIT: Duration = Duration::from_millis(500 + 50 + 150);
/// How long a client waits, to see when the answer ends.
const PATIENCE: Duration = Duration::from_millis(8000);

fn main() {
    let run = Run::new();
    let endless = Arc::new(AtomicU64::new(0));
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|number| {
            let uid = format!("s-{number}");
            let (run, own_uid, endless) = (run.clone(), uid.clone(), endless.clone());
            let received = AtomicU64::new(0);
            let handler: Handler = Arc::new(move |request, reader| {
                let id = request.header("x-call-id").to_owned();
                thread::sleep(WORK);
                let number = received.fetch_add(1, Ordering::Relaxed);
                if !run.trouble || number % ENDLESS_ONE_IN != ENDLESS_ONE_IN - 1 {
                    run.line(format!("{own_uid}: ran {id}"));
                    return reader.stream.write_all(response("200 OK", &id).as_bytes()).is_ok();
                }
                run.line(format!("{own_uid}: ran {id}, with an answer that does not end"));
                endless.fetch_add(1, Ordering::Relaxed);
                let start = Instant::now();
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let piece = format!("{PIECE:x}\r\n{}\r\n", "x".repeat(PIECE));
                let mut sent = reader.stream.write_all(head.as_bytes());
                while sent.is_ok() && start.elapsed() < LONGEST {
                    thread::sleep(PAUSE);
                    sent = reader.stream.write_all(piece.as_bytes());
                }
                run.line(format!("{own_uid}: {id} ended after {:.2?}", start.elapsed()));
                false
            });
            (uid, serve(handler))
        })
        .collect();
    let discovery = Discovery::start(&run, "discovery", &upstreams);
    let balancer = Balancer::start(&run, "balancer", &LOKET_PROD, discovery.address, &upstreams);
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (run, sent, served, lost) = (run.clone(), sent.clone(), served.clone(), lost.clone());
            let address = balancer.address;
            thread::spawn(move || {
                let mut client = Client::new(address);
                let mut seed = 0x7f4a_7c15 + number as u64;
                let end = run.elapsed() + DURATION;
                let mut sequence = 0;
                while run.elapsed() < end {
                    let class = &LOKET_PROD.classes[sequence % 3];
                    let id = format!("{number}-{sequence}");
                    sequence += 1;
                    sent.fetch_add(1, Ordering::Relaxed);
                    let start = Instant::now();
                    let answer = client.raw(request(class, &id).as_bytes(), PATIENCE);
                    let took = start.elapsed();
                    let how = match &answer {
                        Ok(answer) => answer.status().to_string(),
                        // The client can tell that such an answer is not whole: it has failed, and has its end.
                        Err(ReadEnd::ClosedWithin) => "broken off".to_owned(),
                        Err(read_end) => format!("{read_end:?}"),
                    };
                    run.line(format!("client {number}: {} {id}: {how} after {took:.3?}", class.name));
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    let (name, budget) = (class.name, class.budget());
                    if took > budget + LIMIT {
                        run.line(format!("LOST: {name} {id}: {how} after {took:.3?}"));
                        lost.lock().unwrap().push(format!(
                            "{name} {id}: {how} after {took:.2?}, its client waits {budget:?}"
                        ));
                    }
                    thread::sleep(ms(30 + random(&mut seed, 60)));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(balancer);
    let lost = lost.lock().unwrap();
    lost.iter().take(3).for_each(|example| run.say(example));
    let summary = format!(
        "{} requests, {} served; {} answers that did not end; {} requests whose answer had no end {:?} after their time",
        sent.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        endless.load(Ordering::Relaxed),
        lost.len(),
        LIMIT
    );
    run.finish(!lost.is_empty(), summary);
}
