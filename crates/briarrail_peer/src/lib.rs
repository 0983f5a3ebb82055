//! The inner protocol between routers: messages, codec, authentication, byte budget.
