#ifndef CH_TEST_LOOPBACK_H
#define CH_TEST_LOOPBACK_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <unistd.h>

/* First address of 127.64.0.0/10. Its 22 host bits hold any process id, as
 * Linux limits those to 2^22. */
#define LOOPBACK_BASE 0x7f400000u
#define LOOPBACK_PID_MASK 0x3fffffu
#define LOOPBACK_FIRST_PORT 20000

/*
 * Returns the loopback address, in host byte order, that belongs to this
 * process alone, so that a port of it stays free between its choice here and
 * its use by a child process.
 */
static inline uint32_t
loopback_own_address(void)
{
	return LOOPBACK_BASE | ((uint32_t)getpid() & LOOPBACK_PID_MASK);
}

/*
 * Formats the process's own address into a buffer of INET_ADDRSTRLEN bytes.
 */
static inline void
loopback_format_own_address(char *out)
{
	struct in_addr address = {.s_addr = htonl(loopback_own_address())};

	inet_ntop(AF_INET, &address, out, INET_ADDRSTRLEN);
}

/*
 * Returns a port of the process's own address; each call returns another one.
 */
static inline uint16_t
loopback_next_port(void)
{
	static uint16_t next = LOOPBACK_FIRST_PORT;

	return next++;
}

/*
 * Returns the socket address of a port of the process's own address.
 */
static inline struct sockaddr_in
loopback_own(uint16_t port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(loopback_own_address())};
}

#endif
