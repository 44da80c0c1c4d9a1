"""The endpoint side: HTTP/1.1 connections, their pools, and the attempts that use them."""
