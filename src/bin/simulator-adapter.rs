//! Runs instances of the decision module for the simulator: reads batches of events from standard input and writes
//! the resulting actions to standard output.

#![forbid(unsafe_code)]

use balancer::decision::LoadBalancer;
use balancer::decision::{Action, EndpointEntry, Event, Time};
use balancer::simulator::{
    self, BATCH_HEADER_SIZE, BatchHeader, MAX_ENDPOINT_LISTS, Record, Reply, WireError,
};
use std::collections::HashMap;
use std::error::Error;
use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(BufReader::with_capacity(1 << 16, io::stdin().lock()), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Writes a reply to each batch until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Box<dyn Error>> {
    let mut host = Host::default();
    let (mut body, mut frame) = (Vec::new(), Vec::new());
    while let Some(header) = read_header(&mut input)? {
        let header = BatchHeader::decode(&header)?;
        body.clear();
        let read = input.by_ref().take(header.length as u64).read_to_end(&mut body)?;
        if read < header.length {
            return Err(format!(
                "batch {}: truncated frame, {read} bytes received after the header",
                header.sequence
            )
            .into());
        }
        for record in simulator::decode_records(header, &body) {
            let record = record.map_err(|error| format!("batch {}: {error}", header.sequence))?;
            host.apply(header.now, record);
        }
        frame.clear();
        host.reply.finish(header.sequence, &mut frame);
        output.write_all(&frame)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads the next batch header; `None` if the input ends before its first byte.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; BATCH_HEADER_SIZE]>, Box<dyn Error>> {
    let mut header = [0; BATCH_HEADER_SIZE];
    let mut filled = 0;
    while filled < BATCH_HEADER_SIZE {
        match input.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => return Err("truncated header".into()),
            Ok(read) => filled += read,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Some(header))
}

/// The running instances, and the reply to the current batch.
#[derive(Default)]
struct Host {
    /// Instances by their number.
    instances: HashMap<u32, LoadBalancer>,
    /// Endpoint lists by their number, kept until they are replaced, as later records announce them to instances.
    endpoint_lists: [Vec<EndpointEntry>; MAX_ENDPOINT_LISTS],
    /// Actions of the current event, cleared by `flush`.
    actions: Vec<Action>,
    /// The reply to the current batch.
    reply: Reply,
}

impl Host {
    /// Applies one record and adds the resulting actions to the reply.
    fn apply(&mut self, now: Time, record: Record<'_>) {
        match record {
            Record::InstanceStarted { instance, seed, settings } => {
                let balancer = simulator::parse_settings(settings).and_then(|settings| {
                    LoadBalancer::new(settings, seed, now)
                        .map_err(|error| WireError::new(format!("settings: {error}")))
                });
                match balancer {
                    Ok(balancer) => drop(self.instances.insert(instance, balancer)),
                    Err(error) => self.reply.push_fault(instance, &error.to_string()),
                }
            }
            Record::InstanceEnded(instance) => drop(self.instances.remove(&instance)),
            Record::EndpointList(number, entries) => self.endpoint_lists[number] = entries,
            Record::Announce { instance, list_number, delta } => {
                let entries = &self.endpoint_lists[list_number];
                let event =
                    if delta { Event::EndpointsChanged(entries) } else { Event::EndpointList(entries) };
                if let Some(balancer) = self.instances.get_mut(&instance) {
                    balancer.handle(now, event, &mut self.actions);
                }
                self.flush(instance);
            }
            Record::Event(instance, event) => {
                if let Some(balancer) = self.instances.get_mut(&instance) {
                    balancer.handle(now, event, &mut self.actions);
                }
                self.flush(instance);
            }
            Record::Ignored => {}
        }
    }

    /// Moves the actions of an instance to the reply.
    fn flush(&mut self, instance: u32) {
        for action in self.actions.drain(..) {
            self.reply.push(instance, &action);
        }
    }
}
