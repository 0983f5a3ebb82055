//! HTTP server of the readiness and metrics endpoints.

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

/// Timeout for reading a request head, which also limits the idle time between two requests of a
/// connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and responds to each request with `handler`.
pub(crate) async fn serve_monitoring<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "local_accept_failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = handler(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "readiness or metrics connection failed");
            }
        });
    }
}
