//! Makes the system calls that the injector's own tests look at, and prints how each ended.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// How often a call is made.
const TIMES: usize = 12;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, action, subject] = &arguments[..] else {
        eprintln!("usage: fault-probe connect|append|read|replace|exchange SUBJECT");
        std::process::exit(1);
    };
    for _ in 0..TIMES {
        let ended = match action.as_str() {
            "connect" => TcpStream::connect(subject).map(|_| "done".to_owned()),
            "append" => append(subject),
            "read" => read(subject),
            "replace" => replace(subject),
            "exchange" => exchange(subject),
            _ => Err(io::Error::other("no such action")),
        };
        match ended {
            Ok(text) => println!("{text}"),
            Err(error) => println!("error {}", error.raw_os_error().unwrap_or(0)),
        }
    }
}

/// Writes once, and tells how many bytes were taken.
fn append(path: &str) -> io::Result<String> {
    let mut file = File::options().append(true).create(true).open(path)?;
    let taken = file.write(b"four")?;
    file.sync_all()?;
    Ok(taken.to_string())
}

/// Reads once, and tells how many bytes came.
fn read(path: &str) -> io::Result<String> {
    let mut buffer = [0; 64];
    Ok(File::open(path)?.read(&mut buffer)?.to_string())
}

/// Puts a new file in place of another.
fn replace(path: &str) -> io::Result<String> {
    let new = format!("{path}.new");
    fs::write(&new, "new")?;
    fs::rename(&new, path)?;
    Ok("done".to_owned())
}

/// Sends four bytes and reads them back, and tells in how many pieces each went.
fn exchange(address: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    let (mut sent, mut writes) = (0, 0);
    while sent < 4 {
        sent += stream.write(&b"four"[sent..])?;
        writes += 1;
    }
    let (mut back, mut reads) = (Vec::new(), 0);
    while back.len() < 4 {
        let mut buffer = [0; 64];
        let got = stream.read(&mut buffer)?;
        back.extend_from_slice(&buffer[..got]);
        reads += 1;
    }
    Ok(format!("{writes} {reads} {}", String::from_utf8_lossy(&back)))
}
