use super::*;

const HEAD: &[u8] = b"GET /look HTTP/1.1\r\nx-budget: 10.000100\r\nhost: b\r\n\r\n";

fn send_check(left: Duration) -> SendCheck {
    let until = Instant::now() + left;
    let conditions = SendConditions {
        client: None,
        client_deadline: Some(until),
        attempt_deadline: until,
        begin_by: None,
        streamed: false,
    };
    SendCheck::new(conditions, Arc::default())
}

fn told(head: &[u8]) -> f64 {
    let text = String::from_utf8(head.to_vec()).unwrap();
    let budget = text.split("x-budget: ").nth(1).unwrap().split('\r').next().unwrap();
    assert_eq!(budget.len(), "10.000100".len());
    budget.parse().unwrap()
}

/// Guards the time that an upstream is told against all that lies between the choice and the write.
#[test]
fn an_upstream_is_told_the_time_at_the_write() {
    let mut send_check = send_check(Duration::from_secs(9));
    let head = send_check.before_write(HEAD, true).unwrap().expect("a head of its own");
    assert_eq!(head.len(), HEAD.len());
    assert!(told(&head) < 9.0 && told(&head) > 8.0, "{}", told(&head));
    assert!(send_check.write_started.load(Ordering::Relaxed));
}

/// Guards the same where a head leaves in pieces.
#[test]
fn a_head_in_pieces_tells_one_time() {
    let mut send_check = send_check(Duration::from_secs(9));
    let mut sent = Vec::new();
    while sent.len() < HEAD.len() {
        let offered = &HEAD[sent.len()..];
        let bytes = send_check.before_write(offered, true).unwrap().unwrap_or(offered.to_vec());
        sent.push(bytes[0]);
        send_check.wrote(1);
    }
    assert!(told(&sent) < 9.0 && told(&sent) > 8.0, "{}", told(&sent));
}

/// Guards upstreams against requests that nobody could use the answer of.
#[test]
fn with_hardly_any_time_left_nothing_is_written() {
    let mut send_check = send_check(BUDGET_MARGIN + LEAST_BUDGET - Duration::from_millis(1));
    assert_eq!(send_check.before_write(HEAD, true), Err(NotSent::TooLate));
    assert_eq!(send_check.not_sent(), Some(NotSent::TooLate));
    assert!(!send_check.write_started.load(Ordering::Relaxed));
}

/// Guards callers of fast upstreams, whose attempts have short limits: those are for whoever waits for the answer.
#[test]
fn an_attempt_beyond_its_own_limit_is_written() {
    let mut send_check = send_check(Duration::from_secs(9));
    send_check.conditions.attempt_deadline = Instant::now();
    assert!(send_check.before_write(HEAD, true).is_ok());
}

/// Guards the time that an upstream was told: it would begin with the last byte, long after that.
#[test]
fn a_request_that_takes_long_to_write_is_not_written_to_its_end() {
    let mut send_check = send_check(Duration::from_secs(9));
    send_check.before_write(HEAD, false).unwrap();
    send_check.wrote(HEAD.len());
    assert_eq!(send_check.before_write(b"b", false), Ok(None));
    send_check.begun = Instant::now().checked_sub(2 * MOST_WRITE);
    assert_eq!(send_check.before_write(b"b", true), Err(NotSent::TooLate));
}
