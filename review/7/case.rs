//! Some answers are long, have no length, and are written in pieces with pauses of less than a second. The balancer may not
//! cut off what the upstream still gives.

#[path = "../stand_ins_2/common.rs"]
mod common;

use common::{Balancer, Client, Discovery, Handler, LOKET_PROD, ReadEnd, Run, ms, random, response, serve};
use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 4;
const CLIENTS: usize = 12;
const DURATION: Duration = Duration::from_millis(20_000);
const WORK: Duration = Duration::from_millis(20);
/// One answer in this many is long.
const LONG_ONE_IN: u64 = 10;
/// The pieces of a long answer, 200,000 bytes in all, and the pause behind each with the disruption. Without it, the pieces
/// follow each other at once.
const PIECES: usize = 10;
const PIECE: usize = 20_000;
const PAUSE: Duration = Duration::from_millis(900);
/// How long a client waits for the whole of a long answer.
const PATIENCE: Duration = Duration::from_millis(15_000);

fn main() {
    let run = Run::new();
    // How many pieces of a long answer its upstream had written when its connection ended, by the id of the request.
    let broken: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let long = Arc::new(AtomicU64::new(0));
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|number| {
            let uid = format!("s-{number}");
            let (run, own_uid) = (run.clone(), uid.clone());
            let (broken, long) = (broken.clone(), long.clone());
            let received = AtomicU64::new(0);
            let handler: Handler = Arc::new(move |request, reader| {
                let id = request.header("x-call-id").to_owned();
                thread::sleep(WORK);
                if received.fetch_add(1, Ordering::Relaxed) % LONG_ONE_IN != LONG_ONE_IN - 1 {
                    run.line(format!("{own_uid}: ran {id}"));
                    return reader.stream.write_all(response("200 OK", &id).as_bytes()).is_ok();
                }
                run.line(format!("{own_uid}: ran {id}, with a long answer"));
                long.fetch_add(1, Ordering::Relaxed);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let piece = format!("{PIECE:x}\r\n{}\r\n", "x".repeat(PIECE));
                let mut written = reader.stream.write_all(head.as_bytes());
                for number in 0..PIECES {
                    written = written.and_then(|()| reader.stream.write_all(piece.as_bytes()));
                    if written.is_err() {
                        run.line(format!("{own_uid}: {id}: closed by the balancer before piece {number}"));
                        broken.lock().unwrap().insert(id, number);
                        return false;
                    }
                    if run.trouble && number + 1 < PIECES {
                        thread::sleep(PAUSE);
                    }
                }
                let is_written = written.and_then(|()| reader.stream.write_all(b"0\r\n\r\n")).is_ok();
                run.line(format!("{own_uid}: {id}: long answer written"));
                is_written
            });
            (uid, serve(handler))
        })
        .collect();
    let discovery = Discovery::start(&run, "discovery", &upstreams);
    let balancer = Balancer::start(&run, "balancer", &LOKET_PROD, discovery.address, &upstreams);
    let (sent, whole, failed) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let cut_off: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (run, sent, whole) = (run.clone(), sent.clone(), whole.clone());
            let (cut_off, failed) = (cut_off.clone(), failed.clone());
            let address = balancer.address;
            thread::spawn(move || {
                let mut client = Client::new(address);
                let mut seed = 0x6c07_8965 + number as u64;
                let end = run.elapsed() + DURATION;
                let mut sequence = 0;
                while run.elapsed() < end {
                    let class = &LOKET_PROD.classes[sequence % 3];
                    let id = format!("{number}-{sequence}");
                    sequence += 1;
                    sent.fetch_add(1, Ordering::Relaxed);
                    let start = Instant::now();
                    let answer = client.raw(common::request(class, &id).as_bytes(), PATIENCE);
                    let took = start.elapsed();
                    let how = match &answer {
                        Ok(answer) => format!("{}, {} bytes", answer.status(), answer.body.len()),
                        Err(read_end) => format!("{read_end:?}"),
                    };
                    run.line(format!("client {number}: {} {id}: {how} after {took:.3?}", class.name));
                    match answer {
                        Ok(answer) if answer.status() == 200 => drop(whole.fetch_add(1, Ordering::Relaxed)),
                        Err(ReadEnd::ClosedWithin) => {
                            let text = format!(
                                "{} {id}: cut off after {took:.2?}, its client waits {:?} for the first bytes",
                                class.name,
                                class.budget()
                            );
                            cut_off.lock().unwrap().push(id);
                            run.line(format!("CUT OFF: {text}"));
                        }
                        _ => drop(failed.fetch_add(1, Ordering::Relaxed)),
                    }
                    thread::sleep(ms(30 + random(&mut seed, 60)));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    // An upstream notices the end of its connection at its next piece.
    thread::sleep(2 * PAUSE);
    drop(balancer);
    // Only answers count that the upstream was still giving.
    let broken = broken.lock().unwrap();
    let lost = cut_off.lock().unwrap().iter().filter(|id| broken.contains_key(*id)).count();
    let summary = format!(
        "{} requests, {} served whole, {} refused or failed; {} long answers; {lost} cut off while their upstream was still giving them",
        sent.load(Ordering::Relaxed),
        whole.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed),
        long.load(Ordering::Relaxed)
    );
    run.finish(lost > 0, summary);
}
