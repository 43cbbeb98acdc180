//! Discovery is down for some seconds, and an upstream begins to drain meanwhile. At discovery's return the agents of the
//! balancers get the change, which counts as told at once. No balancer may send to the upstream after the grace.

#[path = "../stand_ins_2/common.rs"]
mod common;

use common::{Balancer, Client, Discovery, Handler, Run, SEN_HCM_MAIN, ms, random, response, serve};
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Each balancer has an agent of its own, as the protocol says.
const BALANCERS: usize = 12;
const UPSTREAMS: usize = 4;
const CLIENTS_OF_EACH: usize = 2;
const WORK: Duration = Duration::from_millis(10);
/// When discovery goes down, after all balancers are ready.
const QUIET: Duration = Duration::from_millis(3000);
/// How long the agents are silent, all at the same time.
const OUTAGE: Duration = Duration::from_millis(8000);
/// Time between the starts of two balancers, as they are not started at the same moment.
const STEP: Duration = Duration::from_millis(130);
/// The grace, the 50 ms by which each limit is longer on sockets, and 50 ms for the stand-ins themselves.
const LIMIT: Duration = Duration::from_millis(SEN_HCM_MAIN.drain_grace_ms + 50 + 50);
const DRAINING: &str = "s-0";

fn main() {
    let run = Run::new();
    // When each balancer was told, and the latest request that it sent to the draining upstream.
    let told: Arc<Mutex<Vec<Option<Duration>>>> = Arc::new(Mutex::new(vec![None; BALANCERS]));
    let latest: Arc<Mutex<Vec<Option<(Duration, String)>>>> = Arc::new(Mutex::new(vec![None; BALANCERS]));
    let late_sends = Arc::new(AtomicU64::new(0));
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|number| {
            let uid = format!("s-{number}");
            let (run, told, latest) = (run.clone(), told.clone(), latest.clone());
            let (own_uid, late_sends) = (uid.clone(), late_sends.clone());
            let handler: Handler = Arc::new(move |request, reader| {
                let at = run.elapsed();
                let id = request.header("x-call-id").to_owned();
                run.line(format!("{own_uid}: got {id}"));
                if own_uid == DRAINING {
                    let balancer: usize = id.split('-').next().unwrap().parse().unwrap_or(0);
                    let since_told = told.lock().unwrap()[balancer].map(|told| at.saturating_sub(told));
                    if let Some(since_told) = since_told {
                        if since_told > LIMIT {
                            late_sends.fetch_add(1, Ordering::Relaxed);
                            run.line(format!("LATE: {id} came {since_told:?} after its balancer was told"));
                        }
                        latest.lock().unwrap()[balancer] = Some((since_told, id.clone()));
                    }
                }
                thread::sleep(WORK);
                reader.stream.write_all(response("200 OK", &id).as_bytes()).is_ok()
            });
            (uid, serve(handler))
        })
        .collect();
    let first_start = run.elapsed();
    let fleet: Vec<_> = (0..BALANCERS)
        .map(|number| {
            thread::sleep((first_start + STEP * number as u32).saturating_sub(run.elapsed()));
            let agent = Discovery::start(&run, &format!("agent {number}"), &upstreams);
            let balancer = Balancer::start(
                &run,
                &format!("balancer-{number}"),
                &SEN_HCM_MAIN,
                agent.address,
                &upstreams,
            );
            (agent, balancer)
        })
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for (number, (_, balancer)) in fleet.iter().enumerate() {
        for of_balancer in 0..CLIENTS_OF_EACH {
            let (address, stop, sent, served) =
                (balancer.address, stop.clone(), sent.clone(), served.clone());
            clients.push(thread::spawn(move || {
                let mut client = Client::new(address);
                let mut seed = 0x51ed_2701 + (number * CLIENTS_OF_EACH + of_balancer) as u64;
                let mut sequence = 0;
                while !stop.load(Ordering::Relaxed) {
                    let class = &SEN_HCM_MAIN.classes[sequence % 3];
                    let answer = client.call(class, &format!("{number}-{of_balancer}-{sequence}"));
                    sequence += 1;
                    sent.fetch_add(1, Ordering::Relaxed);
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(ms(10 + random(&mut seed, 20)));
                }
            }));
        }
    }
    thread::sleep(QUIET);
    let down_at = run.elapsed();
    if run.trouble {
        run.line("discovery is down: the agents are silent");
        fleet.iter().for_each(|(agent, _)| agent.change(|list| list.silent = true));
    }
    thread::sleep((down_at + OUTAGE).saturating_sub(run.elapsed()));
    for (number, (agent, _)) in fleet.iter().enumerate() {
        // What the agent gets at the return counts at once.
        agent.change(|list| list.silent = false);
        agent.set_state(DRAINING, "terminating");
        told.lock().unwrap()[number] = Some(run.elapsed());
        run.line(format!("agent {number}: {DRAINING} drains, told"));
    }
    thread::sleep(ms(3000));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(fleet);
    let mut stale = 0;
    for (number, latest) in latest.lock().unwrap().iter().enumerate() {
        if let Some((since_told, id)) = latest {
            let is_late = *since_told > LIMIT;
            stale += u32::from(is_late);
            let mark = if is_late { " (too late)" } else { "" };
            run.say(format!(
                "balancer {number}: last sent to {DRAINING} {since_told:.3?} after it was told: {id}{mark}"
            ));
        }
    }
    let late_sends = late_sends.load(Ordering::Relaxed);
    let summary = format!(
        "{} requests, {} served; {late_sends} sent too late to the draining upstream, by {stale} of {BALANCERS} balancers",
        sent.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed)
    );
    run.finish(late_sends > 0, summary);
}
