//! Tests of connection attempts on slow links and to VMs that start.

use std::{io, time::Duration};

use tokio::time::{Instant, sleep};

use super::{CONNECT_TIMEOUT, first_completed};

#[tokio::test(start_paused = true)]
async fn an_attempt_goes_on_while_its_answer_is_slow() {
    let start = Instant::now();
    let slow = || async {
        sleep(Duration::from_millis(500)).await;
        Ok(start.elapsed())
    };
    let elapsed = first_completed(slow).await.expect("a connection");
    assert_eq!(elapsed, Duration::from_millis(500));
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_starts_is_reached_by_a_later_attempt() {
    let start = Instant::now();
    let lost_before_start = || async {
        if start.elapsed() < Duration::from_millis(300) {
            std::future::pending::<()>().await;
        }
        Ok(())
    };
    assert!(first_completed(lost_before_start).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn attempts_end_with_the_first_refusal() {
    let refused = || async { Err::<(), _>(io::Error::from(io::ErrorKind::ConnectionRefused)) };
    let error = first_completed(refused).await.expect_err("refused");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
}

#[tokio::test(start_paused = true)]
async fn unanswered_attempts_time_out() {
    let start = Instant::now();
    let error = first_completed(std::future::pending::<io::Result<()>>)
        .await
        .expect_err("a timeout");
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    assert_eq!(start.elapsed(), CONNECT_TIMEOUT);
}
