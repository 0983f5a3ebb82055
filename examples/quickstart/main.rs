//! Runs a complete site in one process: stand-ins, three routers, both tables, chats and tickets.
//!
//! ```sh
//! cargo run --release --example quickstart
//! ```

mod chat_section;
mod demo_site;
mod ticket_section;

use std::error::Error;

use demo_site::DemoSite;

const ROUTERS: usize = 3;

fn main() -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut site = runtime.block_on(DemoSite::start())?;
    // Routers start their own threads, so they are started outside of the runtime.
    for number in 0..ROUTERS {
        site.add_router(number)?;
    }
    runtime.block_on(async {
        site.apply_tables().await?;
        site.wait_ready().await;
        chat_section::run(&site).await;
        ticket_section::run(&site).await;
        Ok::<_, Box<dyn Error>>(())
    })?;
    site.stop();
    println!("\nAll routers have stopped; no requests were in flight.");
    Ok(())
}
