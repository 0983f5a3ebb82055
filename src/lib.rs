//! A router fleet for returning chats.
