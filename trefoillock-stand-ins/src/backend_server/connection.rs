//! One HTTP/1.1 connection to a stand-in backend server: reads requests, applies faults, writes
//! answers.

use std::{fmt::Write, io, ops::Range, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use trefoillock_core::headers;

use super::{
    content::{ANSWER_FOR, REQUEST_ID, content_byte, content_seed},
    fault::{Fault, FaultStep},
    request::{Head, RemainingBody, read_head},
    server::State,
};

/// The size of an answer whose request has no `bytes` parameter.
const DEFAULT_ANSWER_BYTES: u64 = 64;
/// The maximum number of body bytes in one write.
const MAX_WRITE_BYTES: u64 = 16 * 1024;

/// How a call goes on after the fault of a step was applied.
enum NextAction {
    Continue,
    Refuse,
    ServerError,
}

/// Serves a connection until the peer closes it, an error occurs or a fault ends it.
pub(crate) async fn serve(
    state: Arc<State>,
    stream: TcpStream,
    stop: CancellationToken,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let _open = state.count_open();
    sleep_unless_zero(state.config.connect_delay).await;
    let (rx, tx) = stream.into_split();
    let mut conn = Connection {
        state,
        rx: BufReader::new(rx),
        tx,
        stop,
    };
    conn.apply_fault(FaultStep::Connected).await?;
    while let Some(head) = read_head(&mut conn.rx).await? {
        conn.answer(&head).await?;
    }
    Ok(())
}

/// Sleeps for a duration. A zero duration returns at once, because the timer would take up to a
/// millisecond.
async fn sleep_unless_zero(span: Duration) {
    if !span.is_zero() {
        sleep(span).await;
    }
}

struct Connection {
    state: Arc<State>,
    rx: BufReader<OwnedReadHalf>,
    tx: OwnedWriteHalf,
    stop: CancellationToken,
}

impl Connection {
    /// Applies the next planned fault of a step, if there is one.
    async fn apply_fault(&mut self, step: FaultStep) -> io::Result<NextAction> {
        match self.state.config.faults.take(step) {
            None => {}
            Some(Fault::Crash) => {
                self.state.crash();
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Some(Fault::Reset) => {
                self.tx.as_ref().set_zero_linger()?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            Some(Fault::SilentDrop) => {
                self.wait_for_close().await;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Some(Fault::Pause(span)) => sleep(span).await,
            Some(Fault::PauseAndReset(span)) => {
                sleep(span).await;
                self.tx.as_ref().set_zero_linger()?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            Some(Fault::Gate(gate)) => gate.wait_until_open(self.state.address).await,
            Some(Fault::Refuse) => return Ok(NextAction::Refuse),
            Some(Fault::ServerError) => return Ok(NextAction::ServerError),
        }
        if self.stop.is_cancelled() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(NextAction::Continue)
    }

    /// Discards input until the peer closes the connection or the server stops.
    async fn wait_for_close(&mut self) {
        let mut sink = tokio::io::sink();
        tokio::select! {
            () = self.stop.cancelled() => {}
            _ = tokio::io::copy(&mut self.rx, &mut sink) => {}
        }
    }

    async fn answer(&mut self, head: &Head) -> io::Result<()> {
        self.state.record_received(head);
        let mut body = RemainingBody::of(head);
        body.read_half(&mut self.rx).await?;
        let next = self.apply_fault(FaultStep::HalfRequest).await?;
        body.read_rest(&mut self.rx).await?;
        let state = self.state.clone();
        let _slot = state.acquire_slot().await;
        if matches!(next, NextAction::Refuse) {
            return self.refuse(head).await;
        }
        self.run(head).await?;
        let next = self.apply_fault(FaultStep::RequestSent).await?;
        if matches!(next, NextAction::ServerError) || self.state.fails_by_count() {
            return self.server_error(head).await;
        }
        self.write_answer(head).await?;
        self.apply_fault(FaultStep::End).await?;
        Ok(())
    }

    /// Runs the call: counts the run and waits for the service time. A path that contains `poison`
    /// crashes the server.
    async fn run(&mut self, head: &Head) -> io::Result<()> {
        let id = head.header(REQUEST_ID).unwrap_or(head.path());
        self.state.run_counter.record(id);
        if head.path().contains("poison") {
            self.state.crash();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        sleep_unless_zero(self.state.config.service_time).await;
        Ok(())
    }

    /// Answers that the call did not run.
    async fn refuse(&mut self, head: &Head) -> io::Result<()> {
        let lines = self.common_lines(head);
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\ntrefoillock-outcome: did-not-run\r\n{lines}\
             content-length: 0\r\n\r\n"
        );
        self.tx.write_all(text.as_bytes()).await
    }

    async fn server_error(&mut self, head: &Head) -> io::Result<()> {
        let lines = self.common_lines(head);
        let text =
            format!("HTTP/1.1 500 Internal Server Error\r\n{lines}content-length: 0\r\n\r\n");
        self.tx.write_all(text.as_bytes()).await
    }

    /// The header lines of all answers: the identity of the call, and what the server states.
    fn common_lines(&self, head: &Head) -> String {
        let call = head.header(headers::CALL);
        let call = call.map(|call| format!("{}: {call}\r\n", headers::CALL));
        call.unwrap_or_default() + &self.state.statement_lines()
    }

    async fn write_answer(&mut self, head: &Head) -> io::Result<()> {
        let length = head.parameter("bytes").unwrap_or(DEFAULT_ANSWER_BYTES);
        let etag = format!("\"{}-{length}\"", self.state.config.etag);
        let range = requested_range(head, length, &etag);
        let is_partial = range.is_some();
        let (status, range) = match range {
            Some(range) => ("206 Partial Content", range),
            None => ("200 OK", 0..length),
        };
        let id = head.header(REQUEST_ID).unwrap_or(head.path());
        let mut text = format!(
            "HTTP/1.1 {status}\r\n{ANSWER_FOR}: {id}\r\netag: {etag}\r\naccept-ranges: bytes\r\n"
        );
        text += &self.common_lines(head);
        if is_partial {
            let last = range.end.saturating_sub(1);
            let _ = write!(
                text,
                "content-range: bytes {}-{last}/{length}\r\n",
                range.start
            );
        }
        let chunked = head.parameter("chunked").is_some();
        if chunked {
            text += "transfer-encoding: chunked\r\n\r\n";
        } else {
            let _ = write!(text, "content-length: {}\r\n\r\n", range.end - range.start);
        }
        self.tx.write_all(text.as_bytes()).await?;
        self.apply_fault(FaultStep::HeadSent).await?;
        self.write_body(head, range, chunked).await
    }

    async fn write_body(
        &mut self,
        head: &Head,
        range: Range<u64>,
        chunked: bool,
    ) -> io::Result<()> {
        let seed = content_seed(&head.target);
        let half = range.start + (range.end - range.start) / 2;
        self.write_range(seed, range.start..half, chunked).await?;
        self.apply_fault(FaultStep::HalfBody).await?;
        self.write_range(seed, half..range.end, chunked).await?;
        if chunked {
            self.tx.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }

    async fn write_range(
        &mut self,
        seed: u64,
        mut range: Range<u64>,
        chunked: bool,
    ) -> io::Result<()> {
        while range.start < range.end {
            let end = range.end.min(range.start + MAX_WRITE_BYTES);
            let mut chunk = Vec::new();
            if chunked {
                chunk.extend(format!("{:x}\r\n", end - range.start).bytes());
            }
            chunk.extend((range.start..end).map(|offset| content_byte(seed, offset)));
            if chunked {
                chunk.extend(b"\r\n");
            }
            self.tx.write_all(&chunk).await?;
            range.start = end;
        }
        Ok(())
    }
}

/// The byte range that a request asks for. Returns `None` if there is none, it is invalid or its
/// `If-Range` validator does not match.
fn requested_range(head: &Head, length: u64, etag: &str) -> Option<Range<u64>> {
    if head.header("if-range").is_some_and(|wanted| wanted != etag) {
        return None;
    }
    let (start, end) = head
        .header("range")?
        .strip_prefix("bytes=")?
        .split_once('-')?;
    let start: u64 = start.parse().ok()?;
    let end = end.parse::<u64>().map_or(length, |last| last + 1);
    (start < end && end <= length).then_some(start..end)
}
