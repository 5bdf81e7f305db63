/* The DRMAA 1.0 C interface of linedeal. Job templates are stored here; all other calls are forwarded to an agent
 * process that holds the session (linedeal/drmaa/agent.py). Each call has a connection of its own, so that any thread
 * can wait while others submit. This file implements no rule of the standard or of the cluster. */
#define _GNU_SOURCE
#include "drmaa.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <spawn.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#ifndef LINEDEAL_PYTHON
#define LINEDEAL_PYTHON "python3"
#endif
/* flags of a job's status number, as in linedeal/drmaa/v1.py; the low byte is the exit status */
#define STAT_EXITED 0x100
#define STAT_ABORTED 0x400
#define MAX_REPLY_BYTES (64u << 20)

extern char **environ;

/* -- lists of strings ----------------------------------------------------------------------------------------- */

/* `position` is the next item that an iteration returns. */
struct strings { size_t count, capacity, position; char **items; };
struct drmaa_attr_names_s { struct strings strings; };
struct drmaa_attr_values_s { struct strings strings; };
struct drmaa_job_ids_s { struct strings strings; };
struct attribute { char *name; int vector; struct strings values; };
struct drmaa_job_template_s { size_t count; struct attribute *items; };

static void strings_clear(struct strings *strings) {
  for (size_t i = 0; i < strings->count; i++) free(strings->items[i]);
  free(strings->items);
  memset(strings, 0, sizeof *strings);
}

static int strings_add_bytes(struct strings *strings, const char *text, size_t length) {
  if (strings->count == strings->capacity) {
    size_t capacity = strings->capacity ? strings->capacity * 2 : 8;
    char **items = realloc(strings->items, capacity * sizeof *items);
    if (!items) return -1;
    strings->items = items;
    strings->capacity = capacity;
  }
  char *copy = malloc(length + 1);
  if (!copy) return -1;
  memcpy(copy, text, length);
  copy[length] = 0;
  strings->items[strings->count++] = copy;
  return 0;
}

static int strings_add(struct strings *strings, const char *text) {
  return strings_add_bytes(strings, text, strlen(text));
}

static int strings_add_number(struct strings *strings, long number) {
  char text[32];
  snprintf(text, sizeof text, "%ld", number);
  return strings_add(strings, text);
}

/* -- errors --------------------------------------------------------------------------------------------------- */

static const char *const ERRORS[] = {
    "success", "internal error", "the cluster cannot be reached", "not authorised", "invalid argument",
    "no active session", "out of memory", "invalid contact string", "default contact string cannot be used",
    "no default contact string selected", "the session cannot be opened", "a session is active already",
    "the session cannot be closed", "invalid format of an attribute", "invalid value of an attribute",
    "attributes contradict each other", "try later", "denied by the cluster", "no such job",
    "the job cannot be resumed", "the job cannot be suspended", "the job cannot be held", "the job cannot be released",
    "the time to wait is over", "no resource usage is known", "no more elements"};

static int fail(int number, const char *text, char *error, size_t error_len) {
  if (error && error_len) snprintf(error, error_len, "%s", text ? text : drmaa_strerror(number));
  return number;
}

static void copy_out(char *to, size_t to_len, const char *text) {
  if (to && to_len) snprintf(to, to_len, "%s", text);
}

const char *drmaa_strerror(int number) {
  return number >= 0 && number < DRMAA_NO_ERRNO ? ERRORS[number] : "no such error number";
}

/* -- the agent ------------------------------------------------------------------------------------------------ */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;    /* guards the following three */
static pid_t agent;
static int agent_input = -1;                                /* the agent exits when this is closed */
static char agent_socket[sizeof(((struct sockaddr_un *)0)->sun_path)];

static int write_all(int fd, const void *data, size_t length) {
  const char *position = data;
  while (length) {
    ssize_t done = send(fd, position, length, MSG_NOSIGNAL);
    if (done < 0 && errno == EINTR) continue;
    if (done <= 0) return -1;
    position += done;
    length -= (size_t)done;
  }
  return 0;
}

static int read_all(int fd, void *data, size_t length) {
  char *position = data;
  while (length) {
    ssize_t done = read(fd, position, length);
    if (done < 0 && errno == EINTR) continue;
    if (done <= 0) return -1;
    position += done;
    length -= (size_t)done;
  }
  return 0;
}

static int send_number(int fd, size_t number) {
  uint32_t n = (uint32_t)number;
  unsigned char raw[4] = {n >> 24, n >> 16, n >> 8, n};
  return write_all(fd, raw, 4);
}

static int read_number(int fd, uint32_t *number) {
  unsigned char raw[4];
  if (read_all(fd, raw, 4)) return -1;
  *number = (uint32_t)raw[0] << 24 | (uint32_t)raw[1] << 16 | (uint32_t)raw[2] << 8 | raw[3];
  return 0;
}

static int read_reply(int fd, struct strings *reply) {
  uint32_t count, length, total = 0;
  if (read_number(fd, &count)) return -1;
  for (uint32_t i = 0; i < count; i++) {
    if (read_number(fd, &length) || length > MAX_REPLY_BYTES || (total += length) > MAX_REPLY_BYTES) return -1;
    char *text = malloc(length + 1);
    if (!text) return -1;
    int failed = read_all(fd, text, length) || strings_add_bytes(reply, text, length);
    free(text);
    if (failed) return -1;
  }
  return count < 2 ? -1 : 0;
}

static int connect_agent(void) {
  struct sockaddr_un address = {.sun_family = AF_UNIX};
  pthread_mutex_lock(&lock);
  memcpy(address.sun_path, agent_socket, sizeof agent_socket);
  pthread_mutex_unlock(&lock);
  if (!address.sun_path[0]) return -1;
  int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0 && connect(fd, (struct sockaddr *)&address, sizeof address)) {
    close(fd);
    fd = -1;
  }
  return fd;
}

/* Performs one call and returns the error number of the reply. Clears `request`; adds the strings that follow the
 * error number and its text to `reply`. */
static int call(struct strings *request, struct strings *reply, char *error, size_t error_len) {
  struct strings all = {0};
  pthread_mutex_lock(&lock);
  int active = agent > 0;
  pthread_mutex_unlock(&lock);
  int fd = active ? connect_agent() : -1;
  int number = active ? DRMAA_ERRNO_DRM_COMMUNICATION_FAILURE : DRMAA_ERRNO_NO_ACTIVE_SESSION;
  const char *text = active ? "the agent does not answer" : NULL;
  if (fd >= 0) {
    int failed = send_number(fd, request->count);
    for (size_t i = 0; !failed && i < request->count; i++) {
      size_t length = strlen(request->items[i]);
      failed = send_number(fd, length) || write_all(fd, request->items[i], length);
    }
    if (!failed && !read_reply(fd, &all)) {
      number = atoi(all.items[0]);
      text = all.items[1];
    }
    close(fd);
  }
  if (number == DRMAA_ERRNO_SUCCESS) {
    for (size_t i = 2; reply && i < all.count; i++)
      if (strings_add(reply, all.items[i])) number = DRMAA_ERRNO_NO_MEMORY;
  }
  if (number != DRMAA_ERRNO_SUCCESS) fail(number, text && *text ? text : NULL, error, error_len);
  strings_clear(&all);
  strings_clear(request);
  return number;
}

static int start_agent(const char *contact, char *error, size_t error_len) {
  int input[2], output[2];
  if (pipe2(input, O_CLOEXEC)) return fail(DRMAA_ERRNO_INTERNAL_ERROR, strerror(errno), error, error_len);
  if (pipe2(output, O_CLOEXEC)) {
    close(input[0]);
    close(input[1]);
    return fail(DRMAA_ERRNO_INTERNAL_ERROR, strerror(errno), error, error_len);
  }
  const char *python = getenv("LINEDEAL_PYTHON");
  char *arguments[] = {(char *)(python && *python ? python : LINEDEAL_PYTHON), "-m", "linedeal", "drmaa-agent",
                       "--contact", (char *)(contact ? contact : ""), NULL};
  posix_spawn_file_actions_t actions;
  posix_spawnattr_t attributes;
  sigset_t none;
  sigemptyset(&none);
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, input[0], 0);
  posix_spawn_file_actions_adddup2(&actions, output[1], 1);
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setsigmask(&attributes, &none);
  /* a process group of its own, so that Ctrl-C reaches the program only; the agent exits after it */
  posix_spawnattr_setpgroup(&attributes, 0);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP | POSIX_SPAWN_SETSIGMASK);
  pid_t child;
  int failed = posix_spawnp(&child, arguments[0], &actions, &attributes, arguments, environ);
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  close(input[0]);
  close(output[1]);
  if (failed) {
    close(input[1]);
    close(output[0]);
    return fail(DRMAA_ERRNO_DRMS_INIT_FAILED, strerror(failed), error, error_len);
  }
  char line[2048];
  size_t length = 0;
  while (length < sizeof line - 1) {
    ssize_t done = read(output[0], line + length, sizeof line - 1 - length);
    if (done < 0 && errno == EINTR) continue;
    if (done <= 0) break;
    length += (size_t)done;
    if (memchr(line, '\n', length)) break;
  }
  close(output[0]);
  line[length] = 0;
  line[strcspn(line, "\n")] = 0;
  char *text = strchr(line, ' ');
  int number = text ? atoi(line) : DRMAA_ERRNO_DRMS_INIT_FAILED;
  if (!text || number || strlen(text + 1) >= sizeof agent_socket) {
    close(input[1]);
    waitpid(child, NULL, 0);
    return fail(number ? number : DRMAA_ERRNO_DRMS_INIT_FAILED, text ? text + 1 : "the agent did not start", error,
                error_len);
  }
  strcpy(agent_socket, text + 1);
  agent = child;
  agent_input = input[1];
  return DRMAA_ERRNO_SUCCESS;
}

int drmaa_init(const char *contact, char *error, size_t error_len) {
  pthread_mutex_lock(&lock);
  int number = agent > 0 ? fail(DRMAA_ERRNO_ALREADY_ACTIVE_SESSION, NULL, error, error_len)
                         : start_agent(contact, error, error_len);
  pthread_mutex_unlock(&lock);
  return number;
}

int drmaa_exit(char *error, size_t error_len) {
  pthread_mutex_lock(&lock);
  pid_t child = agent;
  if (child > 0) {
    close(agent_input);
    agent = 0;
    agent_input = -1;
    agent_socket[0] = 0;
  }
  pthread_mutex_unlock(&lock);
  if (child <= 0) return fail(DRMAA_ERRNO_NO_ACTIVE_SESSION, NULL, error, error_len);
  while (waitpid(child, NULL, 0) < 0 && errno == EINTR) continue;
  return DRMAA_ERRNO_SUCCESS;
}

static int require_session(char *error, size_t error_len) {
  pthread_mutex_lock(&lock);
  int active = agent > 0;
  pthread_mutex_unlock(&lock);
  return active ? DRMAA_ERRNO_SUCCESS : fail(DRMAA_ERRNO_NO_ACTIVE_SESSION, NULL, error, error_len);
}

/* -- templates ------------------------------------------------------------------------------------------------ */

static const char *const SCALARS[] = {
    DRMAA_REMOTE_COMMAND, DRMAA_JS_STATE, DRMAA_WD, DRMAA_JOB_CATEGORY, DRMAA_NATIVE_SPECIFICATION, DRMAA_BLOCK_EMAIL,
    DRMAA_START_TIME, DRMAA_JOB_NAME, DRMAA_INPUT_PATH, DRMAA_OUTPUT_PATH, DRMAA_ERROR_PATH, DRMAA_JOIN_FILES,
    DRMAA_DEADLINE_TIME, NULL};
static const char *const VECTORS[] = {DRMAA_V_ARGV, DRMAA_V_ENV, DRMAA_V_EMAIL, NULL};

static int contains(const char *const *names, const char *name) {
  for (; *names; names++)
    if (!strcmp(*names, name)) return 1;
  return 0;
}

static struct attribute *find(const drmaa_job_template_t *jt, const char *name) {
  for (size_t i = 0; i < jt->count; i++)
    if (!strcmp(jt->items[i].name, name)) return &jt->items[i];
  return NULL;
}

int drmaa_allocate_job_template(drmaa_job_template_t **jt, char *error, size_t error_len) {
  if (!jt) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no place for a template", error, error_len);
  int number = require_session(error, error_len);
  if (number) return number;
  *jt = calloc(1, sizeof **jt);
  return *jt ? DRMAA_ERRNO_SUCCESS : fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
}

int drmaa_delete_job_template(drmaa_job_template_t *jt, char *error, size_t error_len) {
  if (!jt) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no template", error, error_len);
  for (size_t i = 0; i < jt->count; i++) {
    free(jt->items[i].name);
    strings_clear(&jt->items[i].values);
  }
  free(jt->items);
  free(jt);
  return DRMAA_ERRNO_SUCCESS;
}

static int set(drmaa_job_template_t *jt, const char *name, int vector, const char *const *values, size_t count,
               char *error, size_t error_len) {
  struct strings request = {0}, stored = {0};
  int failed = strings_add(&request, "check") || strings_add(&request, name);
  for (size_t i = 0; i < count; i++)
    failed = failed || strings_add(&request, values[i]) || strings_add(&stored, values[i]);
  if (failed) {
    strings_clear(&request);
    strings_clear(&stored);
    return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  }
  int number = call(&request, NULL, error, error_len);
  struct attribute *item = number ? NULL : find(jt, name);
  if (!number && !item) {
    struct attribute *items = realloc(jt->items, (jt->count + 1) * sizeof *items);
    char *copy = strdup(name);
    if (items) jt->items = items;
    if (!items || !copy) {
      free(copy);
      strings_clear(&stored);
      return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
    }
    item = &jt->items[jt->count++];
    *item = (struct attribute){.name = copy, .vector = vector};
  }
  if (number) {
    strings_clear(&stored);
  } else {
    strings_clear(&item->values);
    item->values = stored;
  }
  return number;
}

int drmaa_set_attribute(drmaa_job_template_t *jt, const char *name, const char *value, char *error, size_t error_len) {
  if (!jt || !name || !value || !contains(SCALARS, name))
    return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no such attribute", error, error_len);
  return set(jt, name, 0, &value, 1, error, error_len);
}

int drmaa_set_vector_attribute(drmaa_job_template_t *jt, const char *name, const char *value[], char *error,
                               size_t error_len) {
  if (!jt || !name || !value || !contains(VECTORS, name))
    return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no such vector attribute", error, error_len);
  size_t count = 0;
  while (value[count]) count++;
  return set(jt, name, 1, (const char *const *)value, count, error, error_len);
}

int drmaa_get_attribute(drmaa_job_template_t *jt, const char *name, char *value, size_t value_len, char *error,
                        size_t error_len) {
  if (!jt || !name || !contains(SCALARS, name))
    return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no such attribute", error, error_len);
  struct attribute *item = find(jt, name);
  copy_out(value, value_len, item ? item->values.items[0] : "");
  return DRMAA_ERRNO_SUCCESS;
}

int drmaa_get_vector_attribute(drmaa_job_template_t *jt, const char *name, drmaa_attr_values_t **values, char *error,
                               size_t error_len) {
  if (!jt || !name || !values || !contains(VECTORS, name))
    return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no such vector attribute", error, error_len);
  struct attribute *item = find(jt, name);
  *values = calloc(1, sizeof **values);
  if (!*values) return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  for (size_t i = 0; item && i < item->values.count; i++)
    if (strings_add(&(*values)->strings, item->values.items[i])) {
      drmaa_release_attr_values(*values);
      return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
    }
  return DRMAA_ERRNO_SUCCESS;
}

static int names_of(const char *const *names, drmaa_attr_names_t **values, char *error, size_t error_len) {
  if (!values) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no place for the names", error, error_len);
  int number = require_session(error, error_len);
  if (number) return number;
  *values = calloc(1, sizeof **values);
  if (!*values) return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  for (; *names; names++)
    if (strings_add(&(*values)->strings, *names)) {
      drmaa_release_attr_names(*values);
      return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
    }
  return DRMAA_ERRNO_SUCCESS;
}

int drmaa_get_attribute_names(drmaa_attr_names_t **values, char *error, size_t error_len) {
  return names_of(SCALARS, values, error, error_len);
}

int drmaa_get_vector_attribute_names(drmaa_attr_names_t **values, char *error, size_t error_len) {
  return names_of(VECTORS, values, error, error_len);
}

/* -- opaque lists --------------------------------------------------------------------------------------------- */

static int next_item(struct strings *strings, char *value, size_t value_len) {
  if (strings->position >= strings->count) return DRMAA_ERRNO_NO_MORE_ELEMENTS;
  copy_out(value, value_len, strings->items[strings->position++]);
  return DRMAA_ERRNO_SUCCESS;
}

static int get_count(const struct strings *strings, size_t *size) {
  if (!size) return DRMAA_ERRNO_INVALID_ARGUMENT;
  *size = strings->count;
  return DRMAA_ERRNO_SUCCESS;
}

#define LIST(type, one, many)                                                                             \
  int drmaa_get_next_##one(type *values, char *value, size_t value_len) {                                 \
    return values ? next_item(&values->strings, value, value_len) : DRMAA_ERRNO_INVALID_ARGUMENT;         \
  }                                                                                                       \
  int drmaa_get_num_##many(type *values, size_t *size) {                                                  \
    return values ? get_count(&values->strings, size) : DRMAA_ERRNO_INVALID_ARGUMENT;                     \
  }                                                                                                       \
  void drmaa_release_##many(type *values) {                                                               \
    if (values) strings_clear(&values->strings);                                                          \
    free(values);                                                                                         \
  }

LIST(drmaa_attr_names_t, attr_name, attr_names)
LIST(drmaa_attr_values_t, attr_value, attr_values)
LIST(drmaa_job_ids_t, job_id, job_ids)

/* -- jobs ----------------------------------------------------------------------------------------------------- */

static int add_template(struct strings *request, const drmaa_job_template_t *jt) {
  int failed = 0;
  for (size_t i = 0; i < jt->count; i++) {
    struct attribute *item = &jt->items[i];
    failed = failed || strings_add(request, item->name) ||
             strings_add_number(request, item->vector ? (long)item->values.count : -1);
    for (size_t j = 0; j < item->values.count; j++) failed = failed || strings_add(request, item->values.items[j]);
  }
  return failed;
}

int drmaa_run_job(char *job_id, size_t job_id_len, const drmaa_job_template_t *jt, char *error, size_t error_len) {
  if (!jt) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no template", error, error_len);
  struct strings request = {0}, reply = {0};
  if (strings_add(&request, "run") || add_template(&request, jt)) {
    strings_clear(&request);
    return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  }
  int number = call(&request, &reply, error, error_len);
  if (!number && reply.count) copy_out(job_id, job_id_len, reply.items[0]);
  strings_clear(&reply);
  return number;
}

int drmaa_run_bulk_jobs(drmaa_job_ids_t **jobids, const drmaa_job_template_t *jt, int start, int end, int incr,
                        char *error, size_t error_len) {
  if (!jt || !jobids) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no template, or no place for ids", error, error_len);
  struct strings request = {0};
  drmaa_job_ids_t *found = calloc(1, sizeof *found);
  if (!found || strings_add(&request, "bulk") || strings_add_number(&request, start) ||
      strings_add_number(&request, end) || strings_add_number(&request, incr) || add_template(&request, jt)) {
    free(found);
    strings_clear(&request);
    return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  }
  int number = call(&request, &found->strings, error, error_len);
  if (number) drmaa_release_job_ids(found);
  else *jobids = found;
  return number;
}

int drmaa_control(const char *jobid, int action, char *error, size_t error_len) {
  if (!jobid) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no job", error, error_len);
  struct strings request = {0};
  if (strings_add(&request, "control") || strings_add(&request, jobid) || strings_add_number(&request, action)) {
    strings_clear(&request);
    return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  }
  return call(&request, NULL, error, error_len);
}

int drmaa_synchronize(const char *job_ids[], signed long timeout, int dispose, char *error, size_t error_len) {
  if (!job_ids) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no jobs", error, error_len);
  struct strings request = {0};
  int failed = strings_add(&request, "synchronize") || strings_add_number(&request, timeout) ||
               strings_add(&request, dispose ? "1" : "0");
  for (size_t i = 0; job_ids[i]; i++) failed = failed || strings_add(&request, job_ids[i]);
  if (failed) {
    strings_clear(&request);
    return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  }
  return call(&request, NULL, error, error_len);
}

int drmaa_wait(const char *job_id, char *job_id_out, size_t job_id_out_len, int *stat, signed long timeout,
               drmaa_attr_values_t **rusage, char *error, size_t error_len) {
  if (!job_id) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no job", error, error_len);
  struct strings request = {0}, reply = {0};
  if (strings_add(&request, "wait") || strings_add_number(&request, timeout) || strings_add(&request, job_id)) {
    strings_clear(&request);
    return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  }
  int number = call(&request, &reply, error, error_len);
  if (!number && reply.count >= 2) {
    copy_out(job_id_out, job_id_out_len, reply.items[0]);
    if (stat) *stat = atoi(reply.items[1]);
    if (rusage) {
      *rusage = calloc(1, sizeof **rusage);
      for (size_t i = 2; *rusage && i < reply.count; i++)
        if (strings_add(&(*rusage)->strings, reply.items[i])) number = DRMAA_ERRNO_NO_MEMORY;
      if (!*rusage) number = DRMAA_ERRNO_NO_MEMORY;
      if (number) fail(number, NULL, error, error_len);
      else if (reply.count == 2) number = fail(DRMAA_ERRNO_NO_RUSAGE, NULL, error, error_len);
    }
  }
  strings_clear(&reply);
  return number;
}

int drmaa_job_ps(const char *job_id, int *remote_ps, char *error, size_t error_len) {
  if (!job_id || !remote_ps) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no job", error, error_len);
  struct strings request = {0}, reply = {0};
  if (strings_add(&request, "ps") || strings_add(&request, job_id)) {
    strings_clear(&request);
    return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  }
  int number = call(&request, &reply, error, error_len);
  if (!number && reply.count) *remote_ps = atoi(reply.items[0]);
  strings_clear(&reply);
  return number;
}

/* -- the status number of drmaa_wait --------------------------------------------------------------------------- */

static int set_result(int *to, int value, char *error, size_t error_len) {
  if (!to) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no place for the answer", error, error_len);
  *to = value;
  return DRMAA_ERRNO_SUCCESS;
}

int drmaa_wifexited(int *exited, int stat, char *error, size_t error_len) {
  return set_result(exited, (stat & STAT_EXITED) != 0, error, error_len);
}

int drmaa_wexitstatus(int *exit_status, int stat, char *error, size_t error_len) {
  /* programs call this without drmaa_wifexited: a job that did not exit must not appear as a success */
  return set_result(exit_status, stat & STAT_EXITED ? stat & 0xff : 1, error, error_len);
}

int drmaa_wifsignaled(int *signaled, int stat, char *error, size_t error_len) {
  (void)stat; /* hosts do not report signals */
  return set_result(signaled, 0, error, error_len);
}

int drmaa_wtermsig(char *signal, size_t signal_len, int stat, char *error, size_t error_len) {
  (void)stat;
  copy_out(signal, signal_len, "");
  return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no signal is known", error, error_len);
}

int drmaa_wcoredump(int *core_dumped, int stat, char *error, size_t error_len) {
  (void)stat;
  return set_result(core_dumped, 0, error, error_len);
}

int drmaa_wifaborted(int *aborted, int stat, char *error, size_t error_len) {
  return set_result(aborted, (stat & STAT_ABORTED) != 0, error, error_len);
}

/* -- information ---------------------------------------------------------------------------------------------- */

int drmaa_get_contact(char *contact, size_t contact_len, char *error, size_t error_len) {
  if (require_session(NULL, 0)) {
    const char *default_contact = getenv("LINEDEAL_CONTACT");
    copy_out(contact, contact_len, default_contact ? default_contact : "");
    return DRMAA_ERRNO_SUCCESS;
  }
  struct strings request = {0}, reply = {0};
  if (strings_add(&request, "contact")) return fail(DRMAA_ERRNO_NO_MEMORY, NULL, error, error_len);
  int number = call(&request, &reply, error, error_len);
  if (!number && reply.count) copy_out(contact, contact_len, reply.items[0]);
  strings_clear(&reply);
  return number;
}

int drmaa_version(unsigned int *major, unsigned int *minor, char *error, size_t error_len) {
  if (!major || !minor) return fail(DRMAA_ERRNO_INVALID_ARGUMENT, "no place for the answer", error, error_len);
  *major = 1;
  *minor = 0;
  return DRMAA_ERRNO_SUCCESS;
}

int drmaa_get_DRM_system(char *system, size_t system_len, char *error, size_t error_len) {
  (void)error, (void)error_len;
  copy_out(system, system_len, "linedeal");
  return DRMAA_ERRNO_SUCCESS;
}

int drmaa_get_DRMAA_implementation(char *implementation, size_t implementation_len, char *error, size_t error_len) {
  (void)error, (void)error_len;
  copy_out(implementation, implementation_len, "linedeal DRMAA 1.0");
  return DRMAA_ERRNO_SUCCESS;
}
