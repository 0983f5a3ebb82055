//! Readiness for the balancer and metrics for scrapers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// Time within which a head must be whole, and between two requests of a connection.
const HEAD_LIMIT: Duration = Duration::from_secs(10);

/// Serves small answers that `answer` makes.
pub(crate) async fn serve_local<A>(listener: TcpListener, answer: A)
where
    A: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "local_accept_failed", %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = answer(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_LIMIT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "a local connection ended");
            }
        });
    }
}
