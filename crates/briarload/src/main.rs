//! A load tool for routers and stand-ins.

fn main() {}
