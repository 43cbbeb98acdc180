//! Tests of the checks before each write to an upstream.

use super::*;

const HEAD: &[u8] = b"GET /look HTTP/1.1\r\nx-budget: 10.000100\r\nhost: b\r\n\r\n";

/// A send check for a client that stops waiting after `time_left`.
fn send_check(time_left: Duration) -> SendCheck {
    let deadline = Instant::now() + time_left;
    let conditions = SendConditions {
        client: None,
        client_deadline: Some(deadline),
        attempt_deadline: deadline,
        begin_by: None,
        streamed: false,
    };
    SendCheck::new(conditions, Arc::default())
}

/// The budget in a request head, in seconds.
fn sent_budget(head: &[u8]) -> f64 {
    let text = String::from_utf8(head.to_vec()).unwrap();
    let budget = text.split("x-budget: ").nth(1).unwrap().split('\r').next().unwrap();
    assert_eq!(budget.len(), "10.000100".len());
    budget.parse().unwrap()
}

/// Guards against an outdated budget when the write is delayed after the upstream was chosen.
#[test]
fn the_budget_is_computed_at_the_write() {
    let mut send_check = send_check(Duration::from_secs(9));
    let head = send_check.before_write(HEAD, true).unwrap().expect("a head with the current budget");
    assert_eq!(head.len(), HEAD.len());
    assert!(sent_budget(&head) < 9.0 && sent_budget(&head) > 8.0, "{}", sent_budget(&head));
    assert!(send_check.write_started.load(Ordering::Relaxed));
}

/// Guards against mixed digits of two budgets when a head is written in pieces.
#[test]
fn a_head_written_in_pieces_carries_one_budget() {
    let mut send_check = send_check(Duration::from_secs(9));
    let mut sent = Vec::new();
    while sent.len() < HEAD.len() {
        let offered = &HEAD[sent.len()..];
        let bytes = send_check.before_write(offered, true).unwrap().unwrap_or(offered.to_vec());
        sent.push(bytes[0]);
        send_check.record_written(1);
    }
    assert!(sent_budget(&sent) < 9.0 && sent_budget(&sent) > 8.0, "{}", sent_budget(&sent));
}

/// Guards upstreams against requests whose response would come too late for the client.
#[test]
fn with_too_little_time_left_nothing_is_written() {
    let mut send_check = send_check(BUDGET_MARGIN + MIN_BUDGET - Duration::from_millis(1));
    assert_eq!(send_check.before_write(HEAD, true), Err(NotSentReason::TooLate));
    assert_eq!(send_check.not_sent_reason(), Some(NotSentReason::TooLate));
    assert!(!send_check.write_started.load(Ordering::Relaxed));
}

/// Guards clients of fast upstreams, whose attempts have short deadlines: the attempt's timer enforces these deadlines,
/// not the send check.
#[test]
fn an_attempt_past_its_own_deadline_is_written() {
    let mut send_check = send_check(Duration::from_secs(9));
    send_check.conditions.attempt_deadline = Instant::now();
    assert!(send_check.before_write(HEAD, true).is_ok());
}

/// Guards against an outdated budget: the upstream runs the request once it has the last byte. That may be long after
/// the head with the budget was written.
#[test]
fn a_request_that_takes_long_to_write_is_not_written_to_its_end() {
    let mut send_check = send_check(Duration::from_secs(9));
    send_check.before_write(HEAD, false).unwrap();
    send_check.record_written(HEAD.len());
    assert_eq!(send_check.before_write(b"b", false), Ok(None));
    send_check.first_write_at = Instant::now().checked_sub(2 * MAX_WRITE_TIME);
    assert_eq!(send_check.before_write(b"b", true), Err(NotSentReason::TooLate));
}
