//! Repeats one kind of operation for the tests of the injector, and prints the result of each repetition.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The number of times that an operation is repeated.
const REPETITIONS: usize = 12;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, action, target] = &arguments[..] else {
        eprintln!("usage: fault-probe connect|append|read|replace|exchange TARGET");
        std::process::exit(1);
    };
    for _ in 0..REPETITIONS {
        let result = match action.as_str() {
            "connect" => TcpStream::connect(target).map(|_| "done".to_owned()),
            "append" => append(target),
            "read" => read(target),
            "replace" => replace(target),
            "exchange" => exchange(target),
            _ => Err(io::Error::other("unknown action")),
        };
        match result {
            Ok(text) => println!("{text}"),
            Err(error) => println!("error {}", error.raw_os_error().unwrap_or(0)),
        }
    }
}

/// Appends to a file by one write, and returns the number of bytes written.
fn append(path: &str) -> io::Result<String> {
    let mut file = File::options().append(true).create(true).open(path)?;
    let bytes_written = file.write(b"four")?;
    file.sync_all()?;
    Ok(bytes_written.to_string())
}

/// Reads from a file once, and returns the number of bytes read.
fn read(path: &str) -> io::Result<String> {
    let mut buffer = [0; 64];
    Ok(File::open(path)?.read(&mut buffer)?.to_string())
}

/// Replaces a file: writes `PATH.new` and renames it to `PATH`.
fn replace(path: &str) -> io::Result<String> {
    let new_path = format!("{path}.new");
    fs::write(&new_path, "new")?;
    fs::rename(&new_path, path)?;
    Ok("done".to_owned())
}

/// Sends four bytes and receives their echo. Returns the number of writes, the number of reads and the bytes received.
fn exchange(address: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    let (mut sent, mut writes) = (0, 0);
    while sent < 4 {
        sent += stream.write(&b"four"[sent..])?;
        writes += 1;
    }
    let (mut received, mut reads) = (Vec::new(), 0);
    while received.len() < 4 {
        let mut buffer = [0; 64];
        let bytes_read = stream.read(&mut buffer)?;
        received.extend_from_slice(&buffer[..bytes_read]);
        reads += 1;
    }
    Ok(format!("{writes} {reads} {}", String::from_utf8_lossy(&received)))
}
